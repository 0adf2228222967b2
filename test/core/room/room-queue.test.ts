/** Tests the order in which waiting generations get room. */
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {RoomRequest} from '../../../src/core/room/index.js';
import {latestStartMs, RoomQueue} from '../../../src/core/room/index.js';

const NOW_MS = 5_000;

function createRequest(fields: Partial<RoomRequest> = {}): RoomRequest {
  return {
    priority: 1,
    clientAccount: 'a',
    receivedMs: 4_000,
    objectiveAtMs: 14_000,
    deadlineAtMs: 29_000,
    firstEventMs: 1_000,
    shortestMs: 5_000,
    ...fields,
  };
}

function firstOf(
  requests: readonly RoomRequest[],
  running: Readonly<Record<string, number>> = {},
): RoomRequest | undefined {
  const queue = new RoomQueue<RoomRequest>();
  for (const request of requests) queue.push(request);
  return queue.first({
    nowMs: NOW_MS,
    runningOf: (account) => running[account] ?? 0,
  });
}

interface Case {
  readonly name: string;
  readonly first: Partial<RoomRequest>;
  readonly second: Partial<RoomRequest>;
  readonly running?: Readonly<Record<string, number>>;
}

const LATE = {objectiveAtMs: NOW_MS};

const CASES: readonly Case[] = [
  {
    name: 'the more urgent one, also if it came later',
    first: {priority: 0, receivedMs: 4_900},
    second: {priority: 2},
  },
  {
    name: 'the more urgent one, also if it is late',
    first: {priority: 0, ...LATE},
    second: {priority: 2},
  },
  {
    name: 'the one that can still be on time before one that came earlier',
    first: {receivedMs: 4_900},
    second: LATE,
  },
  {
    name: 'the one whose account runs less',
    first: {clientAccount: 'b'},
    second: {clientAccount: 'a', objectiveAtMs: 9_000},
    running: {a: 3, b: 1},
  },
  {
    name: 'the one that must start earlier',
    first: {objectiveAtMs: 9_000},
    second: {receivedMs: 3_000},
  },
  {
    name: 'the one with the longer prompt of two with the same objective',
    first: {firstEventMs: 3_000},
    second: {},
  },
  {
    name: 'the one that came first if all else is equal',
    first: {receivedMs: 3_900},
    second: {receivedMs: 4_000},
  },
];

describe('RoomQueue', () => {
  it.each(CASES)('takes $name', ({first, second, running}) => {
    const [a, b] = [createRequest(first), createRequest(second)];
    expect(firstOf([a, b], running)).toBe(a);
    expect(firstOf([b, a], running)).toBe(a);
  });

  it.each(CASES)('has $name before the other', ({first, second, running}) => {
    const [a, b] = [createRequest(first), createRequest(second)];
    const queue = new RoomQueue<RoomRequest>();
    queue.push(b);
    queue.push(a);
    const runningOf = (account: string) => running?.[account] ?? 0;
    const view = {nowMs: NOW_MS, runningOf};
    expect(queue.inOrder(view)).toEqual([a, b]);
    expect(queue.last(view)).toBe(b);
    expect(queue.countBefore(a, view)).toBe(0);
    expect(queue.countBefore(b, view)).toBe(1);
  });

  it('drops what its caller has left', () => {
    const queue = new RoomQueue<RoomRequest>();
    const request = createRequest();
    queue.push(request);
    expect(queue.remove(request)).toBe(true);
    expect(queue.remove(request)).toBe(false);
    expect(queue.first({nowMs: NOW_MS, runningOf: () => 0})).toBeUndefined();
  });

  const REQUESTS = fc.array(
    fc.record({
      priority: fc.integer({min: 0, max: 3}),
      clientAccount: fc.constantFrom('a', 'b', 'c'),
      receivedMs: fc.integer({min: 0, max: NOW_MS}),
      objectiveAtMs: fc.integer({min: 0, max: 2 * NOW_MS}),
      deadlineAtMs: fc.constant(4 * NOW_MS),
      firstEventMs: fc.integer({min: 0, max: 2_000}),
      shortestMs: fc.constant(3_000),
    }),
    {minLength: 1, maxLength: 30},
  );

  it('agrees with a naive order, in which nothing waits for what is less urgent', () => {
    fc.assert(
      fc.property(REQUESTS, (requests) => {
        const first = firstOf(requests, {a: 2, b: 1})!;
        const top = Math.min(...requests.map(({priority}) => priority));
        const urgent = requests.filter(({priority}) => priority === top);
        const onTime = urgent.filter((r) => latestStartMs(r) >= NOW_MS);
        const best = onTime.length > 0 ? onTime : urgent;
        expect(best).toContain(first);
        const running = {a: 2, b: 1, c: 0};
        const least = Math.min(
          ...best.map((r) => running[r.clientAccount as 'a']),
        );
        const fair = best.filter(
          (r) => running[r.clientAccount as 'a'] === least,
        );
        expect(latestStartMs(first)).toBe(Math.min(...fair.map(latestStartMs)));
      }),
    );
  });

  it('serves each request in the end', () => {
    fc.assert(
      fc.property(REQUESTS, (requests) => {
        const queue = new RoomQueue<RoomRequest>();
        for (const request of requests) queue.push(request);
        const view = {nowMs: NOW_MS, runningOf: () => 0};
        const served = requests.map(() => {
          const first = queue.first(view)!;
          queue.remove(first);
          return first;
        });
        expect(new Set(served)).toEqual(new Set(requests));
        expect(queue.size).toBe(0);
      }),
    );
  });
});
