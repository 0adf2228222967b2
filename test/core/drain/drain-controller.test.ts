import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {Cell} from '../../../src/core/blackboard/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';
import {
  AGENT_DRAIN_LIMITS,
  DrainController,
} from '../../../src/core/drain/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import {silentSupervisor} from '../../support/supervisor.js';

const SEED = 6;
const STEP_MS = 50;

/** Remaining work at one step. */
interface Step {
  readonly running: number;
  readonly unsent: number;
  readonly peers: number;
  readonly beginsAgain: boolean;
}

const stepArb = fc.record({
  running: fc.integer({min: 0, max: 1}),
  unsent: fc.integer({min: 0, max: 1}),
  peers: fc.integer({min: 0, max: 1}),
  beginsAgain: fc.boolean(),
});

function startDrain(current: {step: Step}) {
  const draining = new Cell(false);
  const clock = new ManualClock();
  const drainedAtMs: number[] = [];
  const drain = new DrainController({
    draining,
    clock,
    logger: SILENT_LOGGER,
    supervisor: silentSupervisor(clock),
    limits: AGENT_DRAIN_LIMITS,
    work: {
      countRunning: () => current.step.running,
      countUnsentBytes: () => current.step.unsent,
      countPendingPeers: () => current.step.peers,
    },
    onDrained: () => void drainedAtMs.push(clock.now()),
  });
  return {draining, clock, drainedAtMs, drain};
}

describe('DrainController', () => {
  // Guards against a process that never stops after a failed begin.
  it('drains although a listener throws at its begin', () => {
    const step = {running: 0, unsent: 0, peers: 0, beginsAgain: false};
    const {draining, clock, drainedAtMs, drain} = startDrain({step});
    draining.subscribe(() => {
      throw new Error('unforeseen');
    });
    expect(() => drain.begin()).toThrow('unforeseen');
    clock.advance(AGENT_DRAIN_LIMITS.minDrainMs + 1_000);
    expect(drainedAtMs).toHaveLength(1);
  });

  it(`drains once, without work and in bounded time (seed ${SEED})`, () => {
    const {minDrainMs, peerTimeoutMs} = AGENT_DRAIN_LIMITS;
    fc.assert(
      fc.property(
        fc.array(stepArb, {minLength: 1, maxLength: 300}),
        (steps) => {
          const current = {step: steps[0]!};
          const {draining, clock, drainedAtMs, drain} = startDrain(current);
          drain.begin();
          expect(draining.get()).toBe(true);
          let lastStep: Step | undefined;
          for (const step of steps) {
            current.step = step;
            if (step.beginsAgain) drain.begin();
            clock.advance(STEP_MS);
            if (drainedAtMs.length > 0) lastStep ??= step;
          }
          expect(drainedAtMs.length).toBeLessThanOrEqual(1);
          if (lastStep !== undefined) expect(lastStep.running).toBe(0);
          if (drainedAtMs.length === 1)
            expect(drainedAtMs[0]).toBeGreaterThanOrEqual(minDrainMs);
          current.step = {running: 0, unsent: 1, peers: 1, beginsAgain: false};
          clock.advance(minDrainMs + peerTimeoutMs + STEP_MS);
          expect(drainedAtMs).toHaveLength(1);
        },
      ),
      {seed: SEED},
    );
  });
});
