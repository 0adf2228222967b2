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

describe('GapThreshold', () => {
  it(`suspects no gap like those learned, and all past the ceiling (seed ${SEED})`, () => {
    const gaps = fc.array(fc.integer({min: 1, max: 3_000}), {
      minLength: 1,
      maxLength: 3 * GAP_SAMPLES,
    });
    fc.assert(
      fc.property(gaps, (learned) => {
        const threshold = new SilenceTimeout(BOUNDS);
        expect(threshold.timeoutMs()).toBe(BOUNDS.ceilingMs);
        learned.forEach((gapMs) => threshold.recordGap(gapMs));
        const allowedMs = threshold.timeoutMs();
        const recent = learned.slice(-GAP_SAMPLES);
        const naiveMs = Math.max(...recent) * GAP_FACTOR;
        const {floorMs, ceilingMs} = BOUNDS;
        expect(allowedMs).toBe(Math.min(ceilingMs, Math.max(floorMs, naiveMs)));
        for (const gapMs of recent.filter((ms) => ms <= ceilingMs)) {
          expect(gapMs).toBeLessThanOrEqual(allowedMs);
        }
        expect(allowedMs).toBeLessThanOrEqual(ceilingMs);
      }),
      {seed: SEED},
    );
  });
});

describe('rankByRendezvous', () => {
  it(`moves no member against the others (seed ${SEED})`, () => {
    const members = fc.uniqueArray(fc.string({maxLength: 8}), {minLength: 1});
    fc.assert(
      fc.property(fc.string(), members, (key, all) => {
        const ranked = rankByRendezvous({key, members: all});
        const lost = all[0]!;
        const left = rankByRendezvous({key, members: all.slice(1)});
        expect(left).toEqual(ranked.filter((member) => member !== lost));
        ranked.forEach((member, at) => {
          const isFirst = isAmongFirst({key, member, members: all, count: 2});
          expect(isFirst).toBe(at < 2);
        });
      }),
      {seed: SEED},
    );
  });
});

describe('selectSubset', () => {
  it.each([3, 4, 13, 25, SUBSET_SIZE])('is all of %i targets', (count) => {
    const entries = names('entry', 4);
    for (const self of entries) {
      const subset = selectSubset({self, entries, targets: targets(count)});
      expect(subset.size).toBe(count);
    }
  });

  it(`covers every target within any part of the entries (seed ${SEED})`, () => {
    const all = targets(60);
    const entries = names('entry', 12);
    fc.assert(
      fc.property(fc.subarray(entries, {minLength: 1}), (seen) => {
        const watchers = new Map<string, number>();
        for (const self of seen) {
          const others = seen.filter((vm) => vm !== self);
          const subset = selectSubset({self, entries: others, targets: all});
          subset.forEach((vm) => watchers.set(vm, (watchers.get(vm) ?? 0) + 1));
        }
        const least = Math.min(seen.length, WATCHERS_PER_TARGET);
        for (const {vm} of all) {
          expect(watchers.get(vm) ?? 0).toBeGreaterThanOrEqual(least);
        }
      }),
      {seed: SEED, numRuns: 30},
    );
  });

  it('is balanced, and moves little when a member is lost', () => {
    const all = targets(600);
    const entries = names('entry', 90);
    const select = (self: string, rivals: string[], of = all) =>
      selectSubset({self, entries: rivals, targets: of});
    const sizes = entries.map((self) => select(self, entries).size);
    const covered = (WATCHERS_PER_TARGET * all.length) / entries.length;
    expect(Math.max(...sizes)).toBeLessThanOrEqual(2 * (SUBSET_SIZE + covered));
    const left = entries.slice(1);
    let moved = 0;
    for (const self of left) {
      const before = select(self, entries);
      const after = select(self, left);
      expect([...before].every((vm) => after.has(vm))).toBe(true);
      moved += after.size - before.size;
    }
    // Only what the lost entry covered moves, and each to one other entry.
    expect(moved).toBeLessThanOrEqual(2 * covered);
    const [self] = entries as [string];
    const before = select(self, entries);
    const after = select(self, entries, all.slice(1));
    const gone = [...before].filter((vm) => !after.has(vm));
    expect(gone.length).toBeLessThanOrEqual(1);
  });
});
