import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {
  ChoiceQuery,
  TargetChooser,
  TargetView,
} from '../../../src/core/routing/index.js';
import {
  estimateLoad,
  OutlierDetector,
  LoadAwareChooser,
  CountHistory,
  PowerOfTwoChooser,
} from '../../../src/core/routing/index.js';

const SEED = 20261204;
const RUNS = 1_000;

function viewOf(fields: Partial<TargetView>): TargetView {
  return {
    vm: 'engine-1',
    dataCentre: 'waw',
    service: 'drafts',
    incarnation: 'i',
    usable: true,
    draining: false,
    ownInFlight: 0,
    running: 0,
    waiting: 0,
    capacity: 16,
    cachedPrefixes: [],
    ...fields,
  };
}

function queryOf(fields: Partial<ChoiceQuery> = {}): ChoiceQuery {
  return {
    service: 'drafts',
    exclude: [],
    dataCentre: 'waw',
    prefix: '',
    ...fields,
  };
}

function createChoice(seed = 1) {
  const clock = new ManualClock();
  const failures = new OutlierDetector({clock});
  const random = new SeededRandom(seed);
  return {
    clock,
    failures,
    chooser: new LoadAwareChooser({random, outliers: failures}),
  };
}

const viewsArb = fc
  .array(
    fc.record({
      usable: fc.boolean(),
      service: fc.constantFrom('drafts', 'stock'),
      ownInFlight: fc.nat({max: 20}),
      running: fc.nat({max: 40}),
      waiting: fc.nat({max: 5}),
      capacity: fc.nat({max: 16}),
      ownInReport: fc.nat({max: 20}),
      usableForMs: fc.nat({max: 20_000}),
    }),
    {maxLength: 12},
  )
  .map((list) =>
    list.map((fields, i) => viewOf({...fields, vm: `engine-${i}`})),
  );

describe('LoadAwareChoice', () => {
  it('chooses where the naive twin finds a candidate, and one of them', () => {
    const excludeArb = fc.subarray(['engine-0', 'engine-1', 'engine-2']);
    fc.assert(
      fc.property(viewsArb, excludeArb, (targets, exclude) => {
        const {chooser} = createChoice();
        const query = queryOf({exclude});
        const naive = targets
          .filter((t) => t.usable && t.service === 'drafts')
          .filter((t) => !exclude.includes(t.vm));
        const chosen = chooser.choose({query, targets}).extract();
        expect(chosen === undefined).toBe(naive.length === 0);
        if (chosen !== undefined) expect(naive).toContain(chosen);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('queues at no target while another has room', () => {
    fc.assert(
      fc.property(viewsArb, fc.nat(), (targets, seed) => {
        const {chooser} = createChoice(seed);
        const query = queryOf();
        const chosen = chooser.choose({query, targets}).extract();
        const hasRoom = (t: TargetView): boolean =>
          estimateLoad(t) < Math.max(t.capacity, 1);
        const any = targets.some(
          (t) => t.usable && t.service === 'drafts' && hasRoom(t),
        );
        if (any) expect(hasRoom(chosen!)).toBe(true);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it.each([
    {name: 'reports of nothing', lie: 0},
    {name: 'reports of full targets', lie: 16},
    {name: 'reports beyond belief', lie: 1_000},
  ])('balances by its own counts under $name', ({lie}) => {
    const {chooser} = createChoice();
    const own = [0, 0, 0, 0];
    for (let i = 0; i < 48; i++) {
      const targets = own.map((ownInFlight, k) =>
        viewOf({vm: `engine-${k}`, ownInFlight, running: lie, ownInReport: 0}),
      );
      const chosen = chooser.choose({query: queryOf(), targets}).extract()!;
      own[Number(chosen.vm.slice('engine-'.length))]!++;
    }
    expect(Math.max(...own) - Math.min(...own)).toBeLessThanOrEqual(6);
  });

  it('takes a target with the prefix, if it is hardly more loaded', () => {
    const {chooser} = createChoice();
    const query = queryOf({prefix: 'p'});
    const cachedPrefixes = ['p'];
    const choose = (running: number): string =>
      chooser
        .choose({
          query,
          targets: [
            viewOf({vm: 'cached', running, cachedPrefixes}),
            viewOf({vm: 'empty'}),
          ],
        })
        .extract()!.vm;
    expect(choose(3)).toBe('cached');
    expect(choose(12)).toBe('empty');
  });

  it('gives a target that came back little at first', () => {
    const countFor = (usableForMs: number): number => {
      const {chooser} = createChoice();
      const own = [0, 0, 0];
      for (let i = 0; i < 24; i++) {
        const targets = own.map((ownInFlight, k) =>
          viewOf({
            vm: String(k),
            ownInFlight,
            usableForMs: k === 0 ? usableForMs : undefined,
          }),
        );
        const {vm} = chooser.choose({query: queryOf(), targets}).extract()!;
        own[Number(vm)]!++;
      }
      return own[0]!;
    };
    expect(countFor(0)).toBeLessThanOrEqual(2);
    expect(countFor(60_000)).toBeGreaterThanOrEqual(6);
  });
});

/** Sends calls of which one target fails each at once; the rest hold them. */
function sendToFailing(
  chooser: TargetChooser,
  failures: OutlierDetector,
): number {
  const own = [0, 0, 0];
  let failed = 0;
  for (let i = 0; i < 200; i++) {
    const targets = own.map((ownInFlight, k) =>
      viewOf({vm: String(k), ownInFlight, capacity: 200}),
    );
    const {vm} = chooser.choose({query: queryOf(), targets}).extract()!;
    const isFailing = vm === '0';
    failures.recordOutcome({vm, failed: isFailing});
    if (isFailing) failed++;
    else own[Number(vm)]!++;
  }
  return failed;
}

describe('FailureWatch', () => {
  it('stops what a choice by load alone sends to a target that fails fast', () => {
    const {chooser, failures} = createChoice();
    const random = new SeededRandom(1);
    const naive = new PowerOfTwoChooser({random});
    const blind = sendToFailing(naive, new OutlierDetector(createChoice()));
    expect(blind).toBeGreaterThan(100);
    expect(sendToFailing(chooser, failures)).toBeLessThanOrEqual(10);
  });

  it('never ejects more than half, whatever fails', () => {
    const noteArb = fc.record({vm: fc.nat({max: 7}), failed: fc.boolean()});
    fc.assert(
      fc.property(fc.array(noteArb, {maxLength: 200}), (notes) => {
        const {failures} = createChoice();
        notes.forEach(({vm, failed}) =>
          failures.recordOutcome({vm: String(vm), failed}),
        );
        const vms = Array.from({length: 8}, (_, i) => String(i));
        expect(failures.filterSelectable({vms}).length).toBeGreaterThanOrEqual(
          4,
        );
        expect(failures.filterSelectable({vms: ['3']})).toEqual(['3']);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('lets a target back after a while, and keeps it out longer each time', () => {
    const {clock, failures} = createChoice();
    const outFor = (): number => {
      for (let i = 0; i < 5; i++)
        failures.recordOutcome({vm: 'a', failed: true});
      let ms = 0;
      for (; failures.isEjected('a'); ms += 100) clock.advance(100);
      return ms;
    };
    const first = outFor();
    expect(outFor()).toBe(2 * first);
  });
});

describe('OwnCounts', () => {
  it('tells what held at a time, as the naive twin does', () => {
    const changeArb = fc.record({
      waitMs: fc.nat({max: 300}),
      count: fc.nat({max: 9}),
    });
    fc.assert(
      fc.property(
        fc.array(changeArb, {maxLength: 80}),
        fc.nat({max: 1_000}),
        (changes, backMs) => {
          const counts = new CountHistory({retentionMs: 1_000});
          const all: Array<{atMs: number; count: number}> = [];
          let nowMs = 0;
          for (const {waitMs, count} of changes) {
            nowMs += waitMs;
            counts.record({nowMs, count});
            all.push({atMs: nowMs, count});
          }
          const atMs = nowMs - backMs;
          const naive = all.filter((c) => c.atMs <= atMs).at(-1)?.count ?? 0;
          expect(counts.countAt(atMs)).toBe(naive);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
