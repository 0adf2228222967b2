import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {computeSlots, splitLimit} from '../../../src/core/admission/index.js';
import type {TargetView} from '../../../src/core/routing/index.js';

const SEED = 20261204;
const LAG_STEPS = 6;

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
    capacity: 60,
    cachedPrefixes: [],
    ...fields,
  };
}

/**
 * Simulates entries that fill their slots at one target in each step, while the
 * load of the other entries is reported to them `LAG_STEPS` steps late; returns
 * the final load of each entry. `wanted` is the load that each entry would have
 * without a limit.
 */
function simulateEntries(
  wanted: readonly number[],
  capacity: number,
): number[] {
  let loads = wanted.map(() => 0);
  const history: number[][] = [];
  for (let step = 0; step < 200; step++) {
    history.push(loads);
    const reported = history[Math.max(0, step - LAG_STEPS)]!;
    const total = reported.reduce((a, b) => a + b, 0);
    loads = loads.map((ownInFlight, i) => {
      const view = viewOf({
        capacity,
        ownInFlight,
        running: Math.min(total, capacity),
        waiting: Math.max(0, total - capacity),
        ownInReport: reported[i]!,
      });
      const entryCount = wanted.length;
      const slots = computeSlots({views: [view], entryCount});
      // One request ends in each step; others start up to the slots.
      const remaining = Math.max(0, ownInFlight - 1);
      return Math.max(remaining, Math.min(slots, wanted[i]!));
    });
  }
  return loads;
}

describe('computeSlots', () => {
  it.each([
    {name: 'one entry', wanted: [100], expected: [60]},
    {name: 'two busy entries', wanted: [100, 100], expected: [30, 30]},
    {name: 'one busy, one idle', wanted: [100, 0], expected: [58, 0]},
    {name: 'one busy, one nearly idle', wanted: [100, 5], expected: [53, 5]},
  ])('shares a target: $name', ({wanted, expected}) => {
    const loads = simulateEntries(wanted, 60);
    loads.forEach((load, i) => {
      expect(load).toBeGreaterThanOrEqual(expected[i]! - 1);
      expect(load).toBeLessThanOrEqual(expected[i]! + 3);
    });
  });

  it('gives at least the fair share and at most the capacity for any report', () => {
    const viewArb = fc.record({
      ownInFlight: fc.nat({max: 100}),
      running: fc.nat({max: 10_000}),
      waiting: fc.nat({max: 10_000}),
      capacity: fc.integer({min: 1, max: 64}),
      ownInReport: fc.nat({max: 100}),
    });
    fc.assert(
      fc.property(
        fc.array(viewArb, {minLength: 1, maxLength: 8}),
        fc.integer({min: 1, max: 6}),
        (fields, entryCount) => {
          const views = fields.map((f) => viewOf(f));
          const total = views.reduce((sum, v) => sum + v.capacity, 0);
          const slots = computeSlots({views, entryCount});
          expect(slots).toBeGreaterThanOrEqual(
            Math.max(1, Math.floor(total / entryCount)),
          );
          expect(slots).toBeLessThanOrEqual(total);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });

  it('gives no slots if no target is usable', () => {
    const views = [viewOf({usable: false})];
    expect(computeSlots({views, entryCount: 1})).toBe(0);
  });
});

describe('splitLimit', () => {
  it('covers the limit and exceeds it by less than one per entry', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 100_000}),
        fc.integer({min: 1, max: 900}),
        (limit, liveEntries) => {
          const entryLimit = splitLimit({limit, liveEntries});
          expect(entryLimit * liveEntries).toBeGreaterThanOrEqual(limit);
          expect(entryLimit * liveEntries).toBeLessThan(limit + liveEntries);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });
});
