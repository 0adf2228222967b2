import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  WATCHERS_PER_TARGET,
  GAP_FACTOR,
  GAP_SAMPLES,
  SilenceTimeout,
  isAmongFirst,
  rankByRendezvous,
  selectSubset,
  SUBSET_SIZE,
} from '../../../src/core/membership/index.js';

const SEED = 62;
const BOUNDS = {floorMs: 600, ceilingMs: 1_500};

function names(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, i) => `${prefix}-${i + 1}`);
}

function targets(count: number) {
  return names('engine', count).map((vm) => ({vm, service: 'drafts'}));
}

describe('SilenceTimeout', () => {
  it(`tolerates recorded gaps and suspects all above the ceiling (seed ${SEED})`, () => {
    const gaps = fc.array(fc.integer({min: 1, max: 3_000}), {
      minLength: 1,
      maxLength: 3 * GAP_SAMPLES,
    });
    fc.assert(
      fc.property(gaps, (recorded) => {
        const timeout = new SilenceTimeout(BOUNDS);
        expect(timeout.timeoutMs()).toBe(BOUNDS.ceilingMs);
        recorded.forEach((gapMs) => timeout.recordGap(gapMs));
        const timeoutMs = timeout.timeoutMs();
        const recent = recorded.slice(-GAP_SAMPLES);
        const expectedMs = Math.max(...recent) * GAP_FACTOR;
        const {floorMs, ceilingMs} = BOUNDS;
        expect(timeoutMs).toBe(
          Math.min(ceilingMs, Math.max(floorMs, expectedMs)),
        );
        for (const gapMs of recent.filter((ms) => ms <= ceilingMs)) {
          expect(gapMs).toBeLessThanOrEqual(timeoutMs);
        }
        expect(timeoutMs).toBeLessThanOrEqual(ceilingMs);
      }),
      {seed: SEED},
    );
  });
});

describe('rankByRendezvous', () => {
  it(`keeps the order of members when one is removed (seed ${SEED})`, () => {
    const members = fc.uniqueArray(fc.string({maxLength: 8}), {minLength: 1});
    fc.assert(
      fc.property(fc.string(), members, (key, all) => {
        const ranked = rankByRendezvous({key, members: all});
        const removed = all[0]!;
        const remaining = rankByRendezvous({key, members: all.slice(1)});
        expect(remaining).toEqual(
          ranked.filter((member) => member !== removed),
        );
        ranked.forEach((member, index) => {
          const isAmongFirstTwo = isAmongFirst({
            key,
            member,
            members: all,
            count: 2,
          });
          expect(isAmongFirstTwo).toBe(index < 2);
        });
      }),
      {seed: SEED},
    );
  });
});

describe('selectSubset', () => {
  it.each([3, 4, 13, 25, SUBSET_SIZE])('selects all of %i targets', (count) => {
    const entries = names('entry', 4);
    for (const self of entries) {
      const subset = selectSubset({self, entries, targets: targets(count)});
      expect(subset.size).toBe(count);
    }
  });

  it(`covers every target with any part of the entries (seed ${SEED})`, () => {
    const all = targets(60);
    const entries = names('entry', 12);
    fc.assert(
      fc.property(fc.subarray(entries, {minLength: 1}), (visible) => {
        const watcherCounts = new Map<string, number>();
        for (const self of visible) {
          const others = visible.filter((vm) => vm !== self);
          const subset = selectSubset({self, entries: others, targets: all});
          subset.forEach((vm) =>
            watcherCounts.set(vm, (watcherCounts.get(vm) ?? 0) + 1),
          );
        }
        const least = Math.min(visible.length, WATCHERS_PER_TARGET);
        for (const {vm} of all) {
          expect(watcherCounts.get(vm) ?? 0).toBeGreaterThanOrEqual(least);
        }
      }),
      {seed: SEED, numRuns: 30},
    );
  });

  it('balances the subsets and changes them little when a member is lost', () => {
    const all = targets(600);
    const entries = names('entry', 90);
    const select = (self: string, others: string[], from = all) =>
      selectSubset({self, entries: others, targets: from});
    const sizes = entries.map((self) => select(self, entries).size);
    const meanWatched = (WATCHERS_PER_TARGET * all.length) / entries.length;
    expect(Math.max(...sizes)).toBeLessThanOrEqual(
      2 * (SUBSET_SIZE + meanWatched),
    );
    const remaining = entries.slice(1);
    let addedCount = 0;
    for (const self of remaining) {
      const before = select(self, entries);
      const after = select(self, remaining);
      expect([...before].every((vm) => after.has(vm))).toBe(true);
      addedCount += after.size - before.size;
    }
    // Each target that the lost entry watched in addition to its subset is now
    // watched by one more of the other entries.
    expect(addedCount).toBeLessThanOrEqual(2 * meanWatched);
    const [self] = entries as [string];
    const before = select(self, entries);
    const after = select(self, entries, all.slice(1));
    const dropped = [...before].filter((vm) => !after.has(vm));
    expect(dropped.length).toBeLessThanOrEqual(1);
  });
});
