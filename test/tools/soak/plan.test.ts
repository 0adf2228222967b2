/** Plans of the soak: which faults come when. */
import {describe, expect, it} from 'vitest';

import {RECOVERY_MS} from '../../../tools/soak/consts.js';
import {createPlan, FaultKind} from '../../../tools/soak/plan.js';

const DURATION_MS = 20_000;

describe('drawPlan', () => {
  it('draws the same faults from the same seed', () => {
    const plan = {seed: 7, durationMs: DURATION_MS};
    expect(createPlan(plan)).toEqual(createPlan(plan));
    expect(createPlan({...plan, seed: 8})).not.toEqual(createPlan(plan));
  });

  it('ends all faults before the quiet part', () => {
    for (let seed = 1; seed <= 50; seed++) {
      for (const episode of createPlan({seed, durationMs: DURATION_MS})) {
        expect(episode.atMs).toBeLessThan(DURATION_MS - RECOVERY_MS);
      }
    }
  });

  it('plays every kind, some of them at the same time', () => {
    const kinds = new Set<FaultKind>();
    let overlaps = 0;
    for (let seed = 1; seed <= 50; seed++) {
      const episodes = createPlan({seed, durationMs: DURATION_MS});
      for (const [index, {kind, atMs}] of episodes.entries()) {
        kinds.add(kind);
        const before = episodes[index - 1];
        const endMs = (before?.atMs ?? 0) + (before?.durationMs ?? 0);
        if (endMs > atMs) overlaps++;
      }
    }
    expect([...kinds].sort()).toEqual(Object.values(FaultKind).sort());
    expect(overlaps).toBeGreaterThan(50);
  });
});
