/** Copies of many entries that see the same engines as idle. */
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {spreadHolders} from '../../../src/core/copies/index.js';
import {chooseEngine} from '../../../src/core/placing/index.js';
import {Target} from '../../../src/core/targets/index.js';

const ENTRIES = 26;
const SEED_STEP = 40_503;
const COPY_TOKENS = 5_400;
const KV_CAPACITY_TOKENS = 55_000;

const createTargets = (count: number) => {
  const clock = new ManualClock();
  return Array.from({length: count}, (_, i) => {
    const record = {
      id: `i-${i}`,
      service: 's',
      address: `127.0.0.1:${i}`,
      dataCentre: 'a',
      slots: 8,
      isDraining: false,
    };
    return new Target({clock, record});
  });
};

const isSeen = () => true;

describe('spreadHolders', () => {
  it('keeps one engine from getting the copies of all entries', () => {
    const copies = new Map<string, number>();
    for (let seed = 0; seed < ENTRIES; seed++) {
      const random = new SeededRandom(seed * SEED_STEP);
      // Each entry knows of work at all engines but the same three.
      const targets = createTargets(22);
      for (const target of targets.slice(3))
        for (let i = 0; i < 3; i++) target.begin({tokens: COPY_TOKENS});
      const holder = chooseEngine({
        targets: spreadHolders({targets, isSeen, random}),
        tokens: COPY_TOKENS,
        kvCapacityTokens: KV_CAPACITY_TOKENS,
        excluded: new Set(),
        random,
      })!;
      copies.set(holder.id, (copies.get(holder.id) ?? 0) + 1);
    }
    const most = Math.max(...copies.values());
    expect(most * COPY_TOKENS).toBeLessThan(KV_CAPACITY_TOKENS);
  });

  it.each([
    {count: 1, expected: 1},
    {count: 4, expected: 4},
    {count: 22, expected: 4},
    {count: 40, expected: 6},
  ])('leaves $expected of $count engines', ({count, expected}) => {
    const random = new SeededRandom(1);
    const targets = createTargets(count);
    expect(spreadHolders({targets, isSeen, random})).toHaveLength(expected);
  });

  it('leaves those seen lately first', () => {
    const targets = createTargets(22);
    for (let seed = 0; seed < 20; seed++) {
      const random = new SeededRandom(seed * SEED_STEP);
      const seen = new Set(targets.slice(4, 7));
      const left = spreadHolders({targets, isSeen: (t) => seen.has(t), random});
      expect(left.slice(0, 3).every((t) => seen.has(t))).toBe(true);
    }
  });
});
