/** Tests what a queue foresees, and when refused callers come back. */
import {describe, expect, it} from 'vitest';

import {SeededRandom} from '../../../src/core/clock/index.js';
import type {RoomRequest} from '../../../src/core/room/index.js';
import {RoomOutlook} from '../../../src/core/room/index.js';

const INTERVAL_MS = 400;
const NOW_MS = 10_000;

/** Share of the time left up to which callers honour a Retry-After. */
const HONOURED_SHARE = 1 / 3;

const REQUEST: RoomRequest = {
  priority: 1,
  clientAccount: 'a',
  receivedMs: NOW_MS,
  objectiveAtMs: NOW_MS + 10_000,
  deadlineAtMs: NOW_MS + 25_000,
  firstEventMs: 1_000,
  shortestMs: 8_000,
};

const RUNNING = 20;

/** A queue that has got room at a steady rate for a time, until `NOW_MS`. */
function createOutlook(forMs: number): RoomOutlook {
  const outlook = new RoomOutlook({random: new SeededRandom(1)});
  const sinceMs = NOW_MS - forMs;
  outlook.recordWaiting(sinceMs);
  for (let atMs = sinceMs; atMs <= NOW_MS; atMs += INTERVAL_MS)
    outlook.recordGrant(atMs);
  return outlook;
}

describe('RoomOutlook', () => {
  const query = {
    ahead: 40,
    running: RUNNING,
    shortestMs: RUNNING * INTERVAL_MS,
    nowMs: NOW_MS,
  };

  it.each([
    {name: 'nothing of a short burst', forMs: 9_000, expected: 0},
    {name: 'a wait by its place', forMs: 10_000, expected: 8_000},
    {name: 'the same for a long time', forMs: 60_000, expected: 8_000},
    {name: 'no wait of the first one', forMs: 60_000, ahead: 0, expected: 0},
    {
      name: 'less if more run than the grants show',
      forMs: 60_000,
      running: 2 * RUNNING,
      expected: 4_000,
    },
    {
      name: 'what the grants show if few run from this entry',
      forMs: 60_000,
      running: 2,
      expected: 8_000,
    },
    {name: 'nothing if none runs', forMs: 60_000, running: 0, expected: 0},
    {
      name: 'nothing of a service whose times are unknown',
      forMs: 60_000,
      shortestMs: 0,
      expected: 0,
    },
  ])('expects $name', ({name, forMs, expected, ...changed}) => {
    void name;
    const waitMs = createOutlook(forMs).waitMs({...query, ...changed});
    expect(waitMs).toBe(expected);
  });

  it('forgets its rate when nothing waits any more', () => {
    const outlook = createOutlook(60_000);
    outlook.recordEmpty();
    expect(outlook.waitMs(query)).toBe(0);
  });

  it.each([0, 1, 2])('expects nothing while engines grant %i rooms', (n) => {
    const outlook = new RoomOutlook({random: new SeededRandom(1)});
    outlook.recordWaiting(NOW_MS - 20_000);
    for (let i = 0; i < n; i++) outlook.recordGrant(NOW_MS - 4_000);
    expect(outlook.waitMs({...query, running: 1})).toBe(0);
  });

  it('spreads the returns of callers whose wait is not foreseen', () => {
    const outlook = new RoomOutlook({random: new SeededRandom(1)});
    const returns = Array.from({length: 100}, () =>
      outlook.retryAfterMs({request: REQUEST, waitMs: 0, nowMs: NOW_MS}),
    );
    expect(new Set(returns).size).toBeGreaterThan(50);
  });

  it('lets refused callers return apart, while they can still be served', () => {
    const outlook = createOutlook(60_000);
    const query = {request: REQUEST, waitMs: 20_000, nowMs: NOW_MS};
    const returns = Array.from({length: 100}, () =>
      outlook.retryAfterMs(query)!,
    );
    const leftMs = REQUEST.deadlineAtMs - NOW_MS;
    for (const afterMs of returns) {
      expect(afterMs).toBeLessThanOrEqual(Math.ceil(leftMs * HONOURED_SHARE));
      expect(afterMs + REQUEST.shortestMs).toBeLessThan(leftMs);
    }
    expect(new Set(returns).size).toBeGreaterThan(90);
    expect(returns[10]).toBeGreaterThan(returns[0]!);
  });

  it('gives no time to return to what has no chance any more', () => {
    const request = {...REQUEST, deadlineAtMs: NOW_MS + 8_100};
    const query = {request, waitMs: 4_000, nowMs: NOW_MS};
    expect(createOutlook(60_000).retryAfterMs(query)).toBeUndefined();
  });
});
