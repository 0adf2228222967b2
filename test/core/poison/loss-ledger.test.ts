/** Requests that count as the cause of target losses. */
import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {RecordedLosses} from '../../../src/core/poison/index.js';
import {LossLedger, POISON_LOSSES} from '../../../src/core/poison/index.js';

const REQUEST = 'a request';
const INCARNATIONS = Array.from(
  {length: POISON_LOSSES},
  (_, i) => `i-${i}@1000`,
);
const SEED = 20261204;

/** Longer than a loss may stay unsettled, in milliseconds. */
const AFTER_DIAGNOSIS_MS = 10_000;

/** Longer than losses are kept, in milliseconds. */
const AFTER_RETENTION_MS = 601_000;

/** Interval that separates two data-centre outages, in milliseconds. */
const OUTAGE_INTERVAL_MS = 3_000;

describe('LossLedger', () => {
  let clock: ManualClock;
  let ledger: LossLedger;

  beforeEach(() => {
    clock = new ManualClock();
    ledger = new LossLedger({clock});
  });

  const lose = (incarnation: string, request = REQUEST) => {
    ledger.recordLoss({suspect: request, incarnation});
    ledger.confirm({suspect: request, incarnation});
  };

  const loseAll = (request = REQUEST) => {
    for (const incarnation of INCARNATIONS) lose(incarnation, request);
  };

  const recordedOf = (
    incarnations: readonly string[],
    isSettled = true,
  ): RecordedLosses => ({
    losses: incarnations.map((incarnation) => ({
      request: REQUEST,
      life: incarnation,
      isSettled,
    })),
    harmless: [],
  });

  it('counts a request as poison after several losses, and no other', () => {
    loseAll();
    expect(ledger.isPoison(REQUEST)).toBe(true);
    expect(ledger.isPoison('another')).toBe(false);
  });

  it('counts no request as poison before the losses are diagnosed', () => {
    for (const incarnation of INCARNATIONS)
      ledger.recordLoss({suspect: REQUEST, incarnation});
    expect(ledger.mayBePoison(REQUEST)).toBe(true);
    expect(ledger.isPoison(REQUEST)).toBe(false);
  });

  it('counts an incarnation once, however many equal requests it ran', () => {
    for (let i = 0; i < 10; i++) lose('i-1@1000');
    expect(ledger.isPoison(REQUEST)).toBe(false);
  });

  it('counts each incarnation of a target that restarts under its id', () => {
    for (const startedAtMs of [1, 2, 3]) lose(`i-1@${startedAtMs}`);
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it('counts losses of other entries, each incarnation once', () => {
    lose(INCARNATIONS[0]!);
    ledger.updateEntry(
      'entry-2',
      recordedOf([INCARNATIONS[0]!, INCARNATIONS[1]!]),
    );
    expect(ledger.isPoison(REQUEST)).toBe(false);
    ledger.updateEntry('entry-3', recordedOf([INCARNATIONS[2]!]));
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it.each([
    {name: 'reads them unsettled again in time', ageMs: 600, isPoison: false},
    {name: 'reads them unsettled again too late', ageMs: 601, isPoison: true},
    {name: 'does not read them again', ageMs: undefined, isPoison: false},
  ])(
    'counts losses of another entry as poison if this one $name: $isPoison',
    ({ageMs, isPoison}) => {
      ledger.updateEntry('entry-2', recordedOf(INCARNATIONS, false));
      clock.advance(ageMs ?? AFTER_DIAGNOSIS_MS);
      if (ageMs !== undefined)
        ledger.updateEntry('entry-2', recordedOf(INCARNATIONS, false));
      expect(ledger.isPoison(REQUEST)).toBe(isPoison);
    },
  );

  it.each([
    {isSettled: false, mayBePoison: false},
    {isSettled: true, mayBePoison: true},
  ])(
    'holds an alert of losses, settled: $isSettled, for long: $mayBePoison',
    ({isSettled, mayBePoison}) => {
      ledger.alerts.add(REQUEST, recordedOf(INCARNATIONS, isSettled));
      expect(ledger.mayBePoison(REQUEST)).toBe(true);
      clock.advance(AFTER_DIAGNOSIS_MS);
      expect(ledger.mayBePoison(REQUEST)).toBe(mayBePoison);
    },
  );

  it('never counts losses that this entry has not settled', () => {
    for (const incarnation of INCARNATIONS)
      ledger.recordLoss({suspect: REQUEST, incarnation});
    clock.advance(AFTER_DIAGNOSIS_MS);
    expect(ledger.isPoison(REQUEST)).toBe(false);
  });

  it('adds up the alerts of several entries', () => {
    const [first, ...others] = INCARNATIONS;
    ledger.alerts.add(REQUEST, recordedOf([first!]));
    ledger.alerts.add(REQUEST, recordedOf(others));
    // An older alert may arrive later.
    ledger.alerts.add(REQUEST, recordedOf(others, false));
    expect(ledger.isPoison(REQUEST)).toBe(true);
    expect(ledger.hasUnalerted(REQUEST)).toBe(false);
    lose('i-9@1000');
    expect(ledger.hasUnalerted(REQUEST)).toBe(true);
  });

  it('counts a request as harmless once its alert was refuted', () => {
    loseAll();
    ledger.alerts.add(REQUEST, {losses: [], harmless: [REQUEST]});
    expect(ledger.mayBePoison(REQUEST)).toBe(false);
    expect(ledger.alerts.isRefuted(REQUEST)).toBe(true);
  });

  it.each([
    {
      name: 'it was served',
      act: () => ledger.recordServed(REQUEST),
    },
    {
      name: 'one loss had another cause',
      act: () =>
        ledger.dismiss({suspect: REQUEST, incarnation: INCARNATIONS[0]!}),
    },
    {
      name: 'a target was lost in a data-centre outage',
      act: () =>
        ledger.recordOutage({suspect: REQUEST, incarnation: INCARNATIONS[0]!}),
    },
    {
      name: 'another request is known to have crashed its targets',
      act: () => ledger.attribute('another', INCARNATIONS),
    },
    {name: 'it was released', act: () => ledger.reset(REQUEST)},
    {
      name: 'the losses have expired',
      act: () => clock.advance(AFTER_RETENTION_MS),
    },
  ])('no longer counts a request as poison once $name', ({act}) => {
    loseAll();
    act();
    expect(ledger.isPoison(REQUEST)).toBe(false);
    expect(ledger.mayBePoison(REQUEST)).toBe(false);
  });

  it('clears a request for all entries once one entry has served it', () => {
    ledger.updateEntry('entry-2', recordedOf(INCARNATIONS));
    ledger.recordServed(REQUEST);
    expect(ledger.isPoison(REQUEST)).toBe(false);
    const third = new LossLedger({clock});
    third.updateEntry('entry-2', recordedOf(INCARNATIONS));
    third.updateEntry('entry-1', ledger.toRecordedLosses());
    expect(third.isPoison(REQUEST)).toBe(false);
  });

  it('publishes a served request only if others have losses of it', () => {
    expect(ledger.recordServed(REQUEST)).toBe(false);
    ledger.updateEntry('entry-2', recordedOf(INCARNATIONS));
    expect(ledger.recordServed(REQUEST)).toBe(true);
    expect(ledger.recordServed(REQUEST)).toBe(false);
  });

  it('publishes that its own losses of a served request are gone', () => {
    lose(INCARNATIONS[0]!);
    expect(ledger.recordServed(REQUEST)).toBe(true);
    expect(ledger.toRecordedLosses().losses).toEqual([]);
  });

  it('requires one more loss if the targets also ran another request', () => {
    loseAll();
    loseAll('other suspect');
    expect(ledger.isPoison(REQUEST)).toBe(false);
    lose('i-9@1000');
    expect(ledger.isPoison(REQUEST)).toBe(true);
    ledger.attribute(REQUEST, [...ledger.incarnationsOf(REQUEST)]);
    expect(ledger.isPoison('other suspect')).toBe(false);
    expect(ledger.mayBePoison('other suspect')).toBe(false);
  });

  it('counts a request as poison after too many data-centre outages', () => {
    const recordOutage = (i: number) => {
      clock.advance(OUTAGE_INTERVAL_MS);
      ledger.recordOutage({suspect: REQUEST, incarnation: `i-${i}@1`});
    };
    for (const i of [1, 2, 3, 4]) recordOutage(i);
    expect(ledger.isPoison(REQUEST)).toBe(false);
    recordOutage(5);
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it('restores the losses of an earlier incarnation of the entry', () => {
    lose(INCARNATIONS[0]!);
    ledger.recordLoss({suspect: REQUEST, incarnation: INCARNATIONS[1]!});
    const next = new LossLedger({clock});
    next.restore(ledger.toRecordedLosses());
    next.recordLoss({suspect: REQUEST, incarnation: INCARNATIONS[2]!});
    next.confirm({suspect: REQUEST, incarnation: INCARNATIONS[2]!});
    expect(next.isPoison(REQUEST)).toBe(true);
  });

  it('agrees with a count over all entries', () => {
    const losses = fc.array(
      fc.record({
        entry: fc.integer({min: 0, max: 3}),
        request: fc.constantFrom('p', 'q', 'r'),
        life: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      }),
    );
    fc.assert(
      fc.property(losses, (all) => {
        const merged = new LossLedger({clock});
        for (const entry of [0, 1, 2, 3]) {
          const seen = all.filter((loss) => loss.entry === entry);
          for (const {request, life: incarnation} of entry === 0 ? seen : []) {
            merged.recordLoss({suspect: request, incarnation});
            merged.confirm({suspect: request, incarnation});
          }
          const recorded = seen.map(({request, life: incarnation}) => {
            return {request, life: incarnation, isSettled: true};
          });
          if (entry > 0) {
            merged.updateEntry(`entry-${entry}`, {
              losses: recorded,
              harmless: [],
            });
          }
        }
        for (const request of ['p', 'q', 'r']) {
          const incarnations = new Set(
            all.filter((l) => l.request === request).map((l) => l.life),
          );
          expect(new Set(merged.incarnationsOf(request))).toEqual(incarnations);
          // With more losses, other requests on the same targets do not matter.
          if (incarnations.size > POISON_LOSSES) {
            expect(merged.isPoison(request)).toBe(true);
          }
          if (incarnations.size < POISON_LOSSES) {
            expect(merged.isPoison(request)).toBe(false);
          }
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});
