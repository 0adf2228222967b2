/** Roll-outs at several entries, without a network. */
import {describe, expect, it} from 'vitest';

import {RolloutState} from '../../../src/core/rollouts/index.js';
import type {FleetOptions, Meeting} from '../../support/rollout-fleet.js';
import {Fleet, SETTINGS} from '../../support/rollout-fleet.js';

const usual = ({random}: Meeting) => ({ms: 10 + random.float() * 20});

const SEEDS = Array.from({length: 8}, (_, i) => i + 1);

const failing = (isBad: (meeting: Meeting) => boolean, share = 0.4) => ({
  outcome: (met: Meeting) => ({
    ...usual(met),
    isFailure: met.isNew && isBad(met) && met.random.float() < share,
  }),
});

interface Row extends FleetOptions {
  readonly name: string;
}

const GOOD: readonly Row[] = [
  {name: 'nothing else', outcome: usual},
  {name: 'little traffic', outcome: usual, perSecond: 8},
  {name: 'one entry', outcome: usual, entries: 1, perSecond: 40},
  {name: 'many entries', outcome: usual, entries: 12, perSecond: 300},
  {name: 'four targets', outcome: usual, targets: 4},
  {
    name: 'the store away for 6 s',
    outcome: usual,
    isCut: (_, t) => t > 10_000 && t < 16_000,
  },
  {
    name: 'an entry that is cut off',
    outcome: usual,
    isCut: (i) => i === 1,
  },
  {
    name: 'each entry restarted in turn',
    outcome: usual,
    restarts: (i, t) => t === 5_000 + i * 2_000,
  },
  {
    name: 'failures of all versions in one data centre',
    outcome: (met) => ({
      ...usual(met),
      isFailure:
        met.dataCentre === 'a' &&
        met.nowMs > 8_000 &&
        met.nowMs < 12_000 &&
        met.random.float() < 0.5,
    }),
  },
  {
    name: 'one new target that fails',
    outcome: (met) => ({
      ...usual(met),
      isFailure: met.isNew && met.target === 1 && met.random.float() < 0.4,
    }),
  },
  {
    name: 'a key that overloads one new target',
    outcome: (met) => ({
      ms: met.isNew && met.target === 0 ? 200 : usual(met).ms,
    }),
  },
  {
    name: 'a crash wave over both versions',
    outcome: (met) => ({
      ...usual(met),
      isLost:
        met.target % 3 === 0 &&
        met.nowMs > 9_000 &&
        met.nowMs < 11_000 &&
        met.random.float() < 0.6,
    }),
  },
];

const BAD: readonly Row[] = [
  {name: 'at once', ...failing(() => true)},
  {
    name: 'with little traffic at many entries',
    ...failing(() => true),
    entries: 26,
    perSecond: 20,
  },
  {
    name: 'with little traffic at many targets, in a short time',
    ...failing(() => true),
    entries: 26,
    perSecond: 22,
    targets: 80,
    durationMs: 12_000,
  },
  {name: 'later', ...failing(({nowMs}) => nowMs > 9_000)},
  {name: 'under load alone', ...failing(({load}) => load > 8)},
  {name: 'on one route', ...failing(({route}) => route === '/b/', 0.5)},
  {name: 'in one data centre', ...failing((met) => met.dataCentre === 'a')},
  {
    name: 'by being slow',
    outcome: (met) => ({
      ms: usual(met).ms * (met.isNew && met.random.float() < 0.4 ? 6 : 1),
    }),
  },
  {
    name: 'while an entry is cut off',
    ...failing(() => true),
    isCut: (i) => i === 1,
  },
  {
    name: 'while targets of all versions crash',
    outcome: (met) => ({
      ...usual(met),
      isFailure: met.isNew && met.random.float() < 0.4,
      isLost:
        met.target % 3 === 0 && met.nowMs < 9_000 && met.random.float() < 0.3,
    }),
  },
];

describe('a good version', () => {
  it.each(GOOD)('is completed in time despite $name', (row) => {
    for (const seed of SEEDS) {
      const fleet = new Fleet({...row, seed}).play();
      expect({seed, state: fleet.state}).toEqual({
        seed,
        state: RolloutState.COMPLETED,
      });
      expect(fleet.states.at(-1)!.atMs).toBeLessThan(30_000);
    }
  });
});

describe('a bad version', () => {
  it.each(BAD)('$name is rolled back within the bounds', (row) => {
    for (const seed of SEEDS) {
      const fleet = new Fleet({...row, seed}).play();
      const {exposureShare, exposureSlack, rollbackMs} = SETTINGS;
      const bound = exposureShare * fleet.total + exposureSlack;
      expect({seed, state: fleet.state}).toEqual({
        seed,
        state: RolloutState.ROLLED_BACK,
      });
      expect(fleet.sentToNew.length).toBeLessThanOrEqual(bound);
      const fiftiethMs = fleet.badAtMs[49] ?? Number.POSITIVE_INFINITY;
      const isInTouch = ({entry, atMs}: {entry: number; atMs: number}) =>
        row.isCut?.(entry, atMs) !== true;
      const last = fleet.sentToNew.findLast(isInTouch);
      expect(last!.atMs).toBeLessThanOrEqual(fiftiethMs + rollbackMs);
    }
  });

  const SILENT = [
    {name: 'in the canary', fromMs: 3_000, badFromMs: 4_000},
    {name: 'under its full load', fromMs: 14_000, badFromMs: 14_500},
    {name: 'with half of the traffic', fromMs: 18_500, badFromMs: 18_600},
    {name: 'with all of the traffic', fromMs: 19_700, badFromMs: 19_800},
  ];

  it.each(SILENT)(
    '$name gets nothing late from an entry that the store alone turns away',
    ({fromMs, badFromMs}) => {
      for (const seed of SEEDS) {
        const fleet = new Fleet({
          isCut: (i, t) => i === 1 && t > fromMs,
          // Its own outcomes do not tell it.
          outcome: (met) => ({
            ...usual(met),
            isFailure:
              met.isNew &&
              met.nowMs > badFromMs &&
              met.entry !== 1 &&
              met.random.float() < 0.8,
          }),
          seed,
        }).play();
        expect(fleet.state).toBe(RolloutState.ROLLED_BACK);
        const fiftiethMs = fleet.badAtMs[49] ?? Number.POSITIVE_INFINITY;
        const limitMs = fiftiethMs + SETTINGS.rollbackMs;
        const late = fleet.sentToNew.filter(({atMs}) => atMs > limitMs);
        expect({seed, late: late.length}).toEqual({seed, late: 0});
      }
    },
  );

  it('gets nothing from an entry that returns with old knowledge', () => {
    // Paused while the others turn back, it knows only the canary.
    const fleet = new Fleet({
      ...failing(() => true),
      isPaused: (i, t) => i === 2 && t > 1_000 && t < 15_000,
    }).play();
    expect(fleet.state).toBe(RolloutState.ROLLED_BACK);
    const late = fleet.sentToNew.filter(({atMs}) => atMs > 16_000);
    expect(late).toEqual([]);
  });
});
