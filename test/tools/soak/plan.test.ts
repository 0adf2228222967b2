/** Fault schedules of the soak. */
import {describe, expect, it} from 'vitest';

import {RECOVERY_MS} from '../../../tools/soak/consts.js';
import {createPlan, FaultKind} from '../../../tools/soak/plan.js';
import {
  createStartPlan,
  StartFaultKind,
} from '../../../tools/soak/start-plan.js';
import {createWirePlan, WireFaultKind} from '../../../tools/soak/wire-plan.js';

const DURATION_MS = 20_000;

describe('createPlan', () => {
  it('generates the same faults from the same seed', () => {
    const plan = {seed: 7, durationMs: DURATION_MS};
    expect(createPlan(plan)).toEqual(createPlan(plan));
    expect(createPlan({...plan, seed: 8})).not.toEqual(createPlan(plan));
  });

  it('starts all faults before the recovery period', () => {
    for (let seed = 1; seed <= 50; seed++) {
      for (const planned of createPlan({seed, durationMs: DURATION_MS})) {
        expect(planned.atMs).toBeLessThan(DURATION_MS - RECOVERY_MS);
      }
    }
  });

  it('contains every kind of fault, and overlapping faults', () => {
    const kinds = new Set<FaultKind>();
    let overlaps = 0;
    for (let seed = 1; seed <= 50; seed++) {
      const plan = createPlan({seed, durationMs: DURATION_MS});
      for (const [index, {kind, atMs}] of plan.entries()) {
        kinds.add(kind);
        const previous = plan[index - 1];
        const endMs = (previous?.atMs ?? 0) + (previous?.durationMs ?? 0);
        if (endMs > atMs) overlaps++;
      }
    }
    expect([...kinds].sort()).toEqual(Object.values(FaultKind).sort());
    expect(overlaps).toBeGreaterThan(50);
  });
});

describe('createStartPlan', () => {
  it('generates the same faults from the same seed', () => {
    const plan = {seed: 7, durationMs: DURATION_MS};
    expect(createStartPlan(plan)).toEqual(createStartPlan(plan));
    expect(createStartPlan({...plan, seed: 8})).not.toEqual(
      createStartPlan(plan),
    );
  });

  it('plays each kind in a run, and starts none in the recovery period', () => {
    for (let seed = 1; seed <= 50; seed++) {
      const plan = createStartPlan({seed, durationMs: DURATION_MS});
      const kinds = new Set(plan.map(({kind}) => kind));
      expect([...kinds].sort()).toEqual(Object.values(StartFaultKind).sort());
      for (const {atMs} of plan) {
        expect(atMs).toBeLessThan(DURATION_MS - RECOVERY_MS);
      }
    }
  });

  it('begins with different kinds and entries', () => {
    const firsts = Array.from({length: 50}, (_, index) => {
      return createStartPlan({seed: index, durationMs: DURATION_MS})[0]!;
    });
    const kinds = new Set(firsts.map(({kind}) => kind));
    const entries = new Set(firsts.map(({part}) => Math.floor(part * 3)));
    expect(kinds.size).toBe(Object.values(StartFaultKind).length);
    expect(entries.size).toBe(3);
  });
});

describe('createWirePlan', () => {
  it('generates the same faults from the same seed', () => {
    const plan = {seed: 7, durationMs: DURATION_MS};
    expect(createWirePlan(plan)).toEqual(createWirePlan(plan));
    expect(createWirePlan({...plan, seed: 8})).not.toEqual(
      createWirePlan(plan),
    );
  });

  it('plays each kind in a run, one fault at a time, before the recovery', () => {
    for (let seed = 1; seed <= 50; seed++) {
      const plan = createWirePlan({seed, durationMs: DURATION_MS});
      const kinds = new Set(plan.map(({kind}) => kind));
      expect([...kinds].sort()).toEqual(Object.values(WireFaultKind).sort());
      for (const [index, {atMs}] of plan.entries()) {
        const {atMs: beforeMs = 0, durationMs = 0} = plan[index - 1] ?? {};
        expect(atMs).toBeGreaterThanOrEqual(beforeMs + durationMs);
        expect(atMs).toBeLessThan(DURATION_MS - RECOVERY_MS);
      }
    }
  });
});
