import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {Cell} from '../../../src/core/blackboard/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';
import {
  AGENT_DRAIN_LIMITS,
  DrainController,
} from '../../../src/core/drain/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';

const SEED = 6;
const STEP_MS = 50;

/** What is left of the work at one step. */
interface Step {
  readonly running: number;
  readonly unsent: number;
  readonly peers: number;
  readonly asks: boolean;
}

const STEP = fc.record({
  running: fc.integer({min: 0, max: 1}),
  unsent: fc.integer({min: 0, max: 1}),
  peers: fc.integer({min: 0, max: 1}),
  asks: fc.boolean(),
});

function start(now: {step: Step}) {
  const leaving = new Cell(false);
  const clock = new ManualClock();
  const ends: number[] = [];
  const drain = new DrainController({
    draining: leaving,
    clock,
    logger: SILENT_LOGGER,
    limits: AGENT_DRAIN_LIMITS,
    work: {
      countRunning: () => now.step.running,
      countUnsentBytes: () => now.step.unsent,
      countPendingPeers: () => now.step.peers,
    },
    onDrained: () => void ends.push(clock.now()),
  });
  return {leaving, clock, ends, drain};
}

describe('DrainController', () => {
  it(`ends once, never with work, never unbounded (seed ${SEED})`, () => {
    const {minDrainMs: noticeMs, peerTimeoutMs: silentPeerMs} =
      AGENT_DRAIN_LIMITS;
    fc.assert(
      fc.property(fc.array(STEP, {minLength: 1, maxLength: 300}), (steps) => {
        const now = {step: steps[0]!};
        const {leaving, clock, ends, drain} = start(now);
        drain.begin();
        expect(leaving.get()).toBe(true);
        let endedWith: Step | undefined;
        for (const step of steps) {
          now.step = step;
          if (step.asks) drain.begin();
          clock.advance(STEP_MS);
          if (ends.length > 0) endedWith ??= step;
        }
        expect(ends.length).toBeLessThanOrEqual(1);
        if (endedWith !== undefined) expect(endedWith.running).toBe(0);
        if (ends.length === 1) expect(ends[0]).toBeGreaterThanOrEqual(noticeMs);
        now.step = {running: 0, unsent: 1, peers: 1, asks: false};
        clock.advance(noticeMs + silentPeerMs + STEP_MS);
        expect(ends).toHaveLength(1);
      }),
      {seed: SEED},
    );
  });
});
