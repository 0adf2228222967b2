/** Outages found by starts, and outages that come by turns. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {
  lastRestarts,
  OutageForecasts,
  OutageTurns,
} from '../../../src/core/outages/index.js';

const START_MS = 1_790_000_000_000;
const DATA_CENTRES = ['a', 'b', 'c'];

/** Engines of a data centre that started at the given times, in seconds. */
const startedAt = (dataCentre: string, ...seconds: number[]) =>
  seconds.map((s) => ({dataCentre, startedAtMs: START_MS + s * 1_000}));

const times = (count: number, s: number) => Array<number>(count).fill(s);

describe('lastRestarts', () => {
  it.each([
    {name: 'the start of a site', starts: times(20, 0), expected: 0},
    {
      name: 'half of the engines',
      starts: [...times(10, 0), ...times(10, 9)],
      expected: 9,
    },
    {
      name: 'engines that start within a second',
      starts: [...times(10, 0), ...times(3, 9), ...times(4, 9.8)],
      expected: 9,
    },
    {
      name: 'two crashed engines after it',
      starts: [...times(18, 0), 7, 8],
      expected: 0,
    },
    {name: 'a roll-out', starts: [0, 2, 4, 6, 8, 10], expected: undefined},
    {name: 'two engines', starts: [3, 3], expected: undefined},
  ])('finds $expected for $name', ({starts, expected}) => {
    const found = lastRestarts(startedAt('a', ...starts));
    const restartedAtMs = found[0]?.restartedAtMs;
    const seconds =
      restartedAtMs === undefined
        ? undefined
        : (restartedAtMs - START_MS) / 1_000;
    expect(seconds).toBe(expected);
  });
});

describe('OutageTurns', () => {
  /** Plays outages as data centre and second; each is seen 2 s after it. */
  function play(outages: ReadonlyArray<readonly [string, number]>) {
    const clock = new ManualClock();
    const turns = new OutageTurns({clock});
    const last = new Map(DATA_CENTRES.map((dc) => [dc, 0]));
    const record = () =>
      turns.record(
        [...last].map(([dataCentre, s]) => ({
          dataCentre,
          restartedAtMs: START_MS + s * 1_000,
        })),
      );
    record();
    let nowS = 0;
    for (const [dataCentre, s] of outages) {
      clock.advance((s + 2 - nowS) * 1_000);
      nowS = s + 2;
      last.set(dataCentre, s);
      record();
    }
    return {clock, turns, record};
  }

  it.each([
    {name: 'none', outages: [], risks: {}},
    {name: 'one', outages: [['a', 4]], risks: {}},
    {
      name: 'two of three',
      outages: [
        ['a', 4],
        ['b', 8],
      ],
      risks: {c: 1, a: 0.5, b: 0},
    },
    {
      name: 'two rounds',
      outages: [
        ['a', 4],
        ['c', 7],
        ['b', 11],
        ['a', 14],
        ['c', 18],
      ],
      risks: {b: 1, a: 0.5, c: 0},
    },
    {
      name: 'one data centre again and again',
      outages: [
        ['a', 4],
        ['a', 8],
        ['a', 12],
      ],
      risks: {},
    },
    {
      name: 'two by turns, the third never',
      outages: [
        ['a', 4],
        ['b', 8],
        ['a', 12],
        ['b', 16],
      ],
      risks: {},
    },
  ] as const)('sees risks $risks after $name', ({outages, risks}) => {
    const {turns} = play(outages);
    expect(Object.fromEntries(turns.riskOf(DATA_CENTRES))).toEqual(risks);
  });

  it('forgets outages after a while', () => {
    const {turns, clock, record} = play([
      ['a', 4],
      ['b', 8],
    ]);
    clock.advance(30_000);
    record();
    expect(turns.riskOf(DATA_CENTRES).size).toBe(0);
  });
});

describe('OutageForecasts', () => {
  it('give the data centre that is expected next the highest cost', () => {
    const clock = new ManualClock();
    const forecasts = new OutageForecasts({clock});
    const starts = new Map(DATA_CENTRES.map((dc) => [dc, 0]));
    const targets = () =>
      [...starts].flatMap(([dc, s]) => startedAt(dc, ...times(8, s)));
    expect(forecasts.costsOf('drafts', targets).size).toBe(0);
    for (const [dataCentre, s] of [
      ['a', 4],
      ['b', 8],
    ] as const) {
      clock.advance(4_000);
      starts.set(dataCentre, s);
      forecasts.costsOf('drafts', targets);
    }
    const costs = forecasts.costsOf('drafts', targets);
    expect(costs.get('c')).toBeGreaterThan(costs.get('a')!);
    expect(costs.get('b')).toBe(0);
  });
});
