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

function createChooser(seed = 1) {
  const clock = new ManualClock();
  const outliers = new OutlierDetector({clock});
  const random = new SeededRandom(seed);
  return {
    clock,
    outliers,
    chooser: new LoadAwareChooser({random, outliers}),
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

describe('LoadAwareChooser', () => {
  it('chooses one of the usable targets that are not excluded, if any', () => {
    const excludeArb = fc.subarray(['engine-0', 'engine-1', 'engine-2']);
    fc.assert(
      fc.property(viewsArb, excludeArb, (targets, exclude) => {
        const {chooser} = createChooser();
        const query = queryOf({exclude});
        const expected = targets
          .filter((t) => t.usable && t.service === 'drafts')
          .filter((t) => !exclude.includes(t.vm));
        const chosen = chooser.choose({query, targets}).extract();
        expect(chosen === undefined).toBe(expected.length === 0);
        if (chosen !== undefined) expect(expected).toContain(chosen);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('chooses no full target while another has free capacity', () => {
    fc.assert(
      fc.property(viewsArb, fc.nat(), (targets, seed) => {
        const {chooser} = createChooser(seed);
        const query = queryOf();
        const chosen = chooser.choose({query, targets}).extract();
        const hasFreeCapacity = (t: TargetView): boolean =>
          estimateLoad(t) < Math.max(t.capacity, 1);
        const isAnyFree = targets.some(
          (t) => t.usable && t.service === 'drafts' && hasFreeCapacity(t),
        );
        if (isAnyFree) expect(hasFreeCapacity(chosen!)).toBe(true);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it.each([
    {name: 'reports without load', reported: 0},
    {name: 'reports of full targets', reported: 16},
    {name: 'reports far above capacity', reported: 1_000},
  ])('balances by its own counts despite $name', ({reported}) => {
    const {chooser} = createChooser();
    const ownCounts = [0, 0, 0, 0];
    for (let i = 0; i < 48; i++) {
      const targets = ownCounts.map((ownInFlight, k) =>
        viewOf({
          vm: `engine-${k}`,
          ownInFlight,
          running: reported,
          ownInReport: 0,
        }),
      );
      const chosen = chooser.choose({query: queryOf(), targets}).extract()!;
      ownCounts[Number(chosen.vm.slice('engine-'.length))]!++;
    }
    expect(Math.max(...ownCounts) - Math.min(...ownCounts)).toBeLessThanOrEqual(
      6,
    );
  });

  it('prefers a target with the cached prefix if it is only slightly more loaded', () => {
    const {chooser} = createChooser();
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

  it('sends few requests to a recovered target at first', () => {
    const countSentToRecovered = (usableForMs: number): number => {
      const {chooser} = createChooser();
      const ownCounts = [0, 0, 0];
      for (let i = 0; i < 24; i++) {
        const targets = ownCounts.map((ownInFlight, k) =>
          viewOf({
            vm: String(k),
            ownInFlight,
            usableForMs: k === 0 ? usableForMs : undefined,
          }),
        );
        const {vm} = chooser.choose({query: queryOf(), targets}).extract()!;
        ownCounts[Number(vm)]!++;
      }
      return ownCounts[0]!;
    };
    expect(countSentToRecovered(0)).toBeLessThanOrEqual(2);
    expect(countSentToRecovered(60_000)).toBeGreaterThanOrEqual(6);
  });
});

/**
 * Sends 200 calls to three targets, one of which fails each call immediately
 * while the others keep theirs in flight; returns the number of failed calls.
 */
function countFailedCalls(
  chooser: TargetChooser,
  outliers: OutlierDetector,
): number {
  const ownCounts = [0, 0, 0];
  let failed = 0;
  for (let i = 0; i < 200; i++) {
    const targets = ownCounts.map((ownInFlight, k) =>
      viewOf({vm: String(k), ownInFlight, capacity: 200}),
    );
    const {vm} = chooser.choose({query: queryOf(), targets}).extract()!;
    const isFailing = vm === '0';
    outliers.recordOutcome({vm, failed: isFailing});
    if (isFailing) failed++;
    else ownCounts[Number(vm)]!++;
  }
  return failed;
}

describe('OutlierDetector', () => {
  it('stops sending to a target that fails fast, unlike a choice by load only', () => {
    const {chooser, outliers} = createChooser();
    const random = new SeededRandom(1);
    const loadOnly = new PowerOfTwoChooser({random});
    const failedByLoadOnly = countFailedCalls(
      loadOnly,
      new OutlierDetector(createChooser()),
    );
    expect(failedByLoadOnly).toBeGreaterThan(100);
    expect(countFailedCalls(chooser, outliers)).toBeLessThanOrEqual(10);
  });

  it('never ejects more than half of the targets', () => {
    const outcomeArb = fc.record({vm: fc.nat({max: 7}), failed: fc.boolean()});
    fc.assert(
      fc.property(fc.array(outcomeArb, {maxLength: 200}), (outcomes) => {
        const {outliers} = createChooser();
        outcomes.forEach(({vm, failed}) =>
          outliers.recordOutcome({vm: String(vm), failed}),
        );
        const vms = Array.from({length: 8}, (_, i) => String(i));
        expect(outliers.filterSelectable({vms}).length).toBeGreaterThanOrEqual(
          4,
        );
        expect(outliers.filterSelectable({vms: ['3']})).toEqual(['3']);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('ends an ejection after some time and doubles the next one', () => {
    const {clock, outliers} = createChooser();
    const ejectionMs = (): number => {
      for (let i = 0; i < 5; i++)
        outliers.recordOutcome({vm: 'a', failed: true});
      let ms = 0;
      for (; outliers.isEjected('a'); ms += 100) clock.advance(100);
      return ms;
    };
    const first = ejectionMs();
    expect(ejectionMs()).toBe(2 * first);
  });
});

describe('CountHistory', () => {
  it('returns the same count at a time as a full history', () => {
    const changeArb = fc.record({
      waitMs: fc.nat({max: 300}),
      count: fc.nat({max: 9}),
    });
    fc.assert(
      fc.property(
        fc.array(changeArb, {maxLength: 80}),
        fc.nat({max: 1_000}),
        (changes, ageMs) => {
          const counts = new CountHistory({retentionMs: 1_000});
          const all: Array<{atMs: number; count: number}> = [];
          let nowMs = 0;
          for (const {waitMs, count} of changes) {
            nowMs += waitMs;
            counts.record({nowMs, count});
            all.push({atMs: nowMs, count});
          }
          const atMs = nowMs - ageMs;
          const expected = all.filter((c) => c.atMs <= atMs).at(-1)?.count ?? 0;
          expect(counts.countAt(atMs)).toBe(expected);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
