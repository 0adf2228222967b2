import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {LimitPool, PermitNeed} from '../../../src/core/limits/index.js';

const TARGET = 'i-1@1';
const PER_SECOND = 2;
const INTERVAL_MS = 500;
const URGENT = 0;
const NORMAL = 5;

describe('LimitPool', () => {
  let clock: ManualClock;
  let pool: LimitPool;

  beforeEach(() => {
    clock = new ManualClock();
    pool = new LimitPool({clock, permits: 1});
  });

  const ask = (options: {
    need?: PermitNeed;
    priority?: number;
    clientAccount?: string;
    perSecond?: number;
  }) => {
    const {need = PermitNeed.REQUIRED, priority = NORMAL} = options;
    const {clientAccount = 'a', perSecond = PER_SECOND} = options;
    const limit = {perSecond, heardAtMs: clock.now()};
    pool.hear(limit);
    const query = {target: TARGET, limit, need, priority, clientAccount};
    return pool.request(query, () => 1);
  };

  it('grants one permit in each interval', () => {
    let granted = 0;
    for (let ms = 0; ms < 10 * INTERVAL_MS; ms += INTERVAL_MS / 10) {
      if (ask({need: PermitNeed.OPTIONAL}).isGranted) granted++;
      clock.advance(INTERVAL_MS / 10);
    }
    expect(granted).toBeGreaterThanOrEqual(9);
    expect(granted).toBeLessThanOrEqual(11);
  });

  it('tells each refused request a later time than the one before', () => {
    expect(ask({}).isGranted).toBe(true);
    expect(ask({}).retryAfterMs).toBeCloseTo(INTERVAL_MS);
    expect(ask({}).retryAfterMs).toBeCloseTo(2 * INTERVAL_MS);
    expect(ask({}).retryAfterMs).toBeCloseTo(3 * INTERVAL_MS);
  });

  it('tells a request with another target when the next permit is there', () => {
    for (let i = 0; i < 4; i++) ask({});
    const {retryAfterMs} = ask({need: PermitNeed.OPTIONAL});
    expect(retryAfterMs).toBeCloseTo(INTERVAL_MS);
    clock.advance(retryAfterMs);
    expect(ask({need: PermitNeed.OPTIONAL}).isGranted).toBe(true);
  });

  it.each([
    {
      name: 'a more urgent request before a less urgent one',
      first: {priority: URGENT, clientAccount: 'a'},
      other: {priority: NORMAL, clientAccount: 'b'},
    },
    {
      name: 'an account that had none before one that had one',
      first: {priority: NORMAL, clientAccount: 'b'},
      other: {priority: NORMAL, clientAccount: 'a'},
    },
  ])('grants the next permit to $name', ({first, other}) => {
    expect(ask({clientAccount: 'a'}).isGranted).toBe(true);
    const told = ask(first);
    expect(told.isGranted).toBe(false);
    clock.advance(told.retryAfterMs);
    expect(ask(other).isGranted).toBe(false);
    expect(ask(first).isGranted).toBe(true);
  });

  it('grants the permit to others if the refused request does not return', () => {
    ask({});
    const told = ask({priority: URGENT});
    clock.advance(told.retryAfterMs + INTERVAL_MS);
    expect(ask({}).isGranted).toBe(true);
  });

  it('keeps no place for a request that went elsewhere', () => {
    ask({});
    ask({priority: URGENT, need: PermitNeed.OPTIONAL});
    clock.advance(INTERVAL_MS);
    expect(ask({}).isGranted).toBe(true);
  });

  it('makes up for requests that are sent in any case', () => {
    for (let i = 0; i < 3; i++) ask({need: PermitNeed.FORCED});
    expect(ask({}).retryAfterMs).toBeCloseTo(3 * INTERVAL_MS);
  });

  it.each([
    {name: 'follows a newer limit', ageMs: 0, isGranted: true},
    {name: 'ignores an older limit', ageMs: 60_000, isGranted: false},
  ])('$name', ({ageMs, isGranted}) => {
    ask({});
    expect(ask({}).isGranted).toBe(false);
    clock.advance(1);
    pool.hear({heardAtMs: clock.now() - ageMs});
    const limit = {heardAtMs: Number.NEGATIVE_INFINITY};
    const query = {target: TARGET, limit, need: PermitNeed.OPTIONAL};
    const answer = pool.request(
      {...query, priority: NORMAL, clientAccount: 'a'},
      () => 1,
    );
    expect(answer.isGranted).toBe(isGranted);
  });
});
