/** How often an engine is probed while it reads a prompt. */
import {okAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {Target} from '../../src/core/targets/index.js';
import type {RequestContext} from '../../src/direct/context.js';
import {StallDetector} from '../../src/direct/streams/stall-detector.js';

const STEP_MS = 100;
const FIRST_CHECK_MS = 400;

const RECORD = {
  id: 'i-1',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  slots: 8,
  isDraining: false,
};

/** Times of the probes of an engine, and when it counts as lost. */
async function watch(options: {isResumed: boolean; lostAtMs: number}) {
  const {isResumed, lostAtMs} = options;
  const clock = new ManualClock();
  const startMs = clock.now();
  const probesMs: number[] = [];
  let stalledMs: number | undefined;
  const isAlive = () => {
    const nowMs = clock.now() - startMs;
    probesMs.push(nowMs);
    return okAsync(nowMs < lostAtMs).unwrapOr(false);
  };
  const run = (work: () => void) => work();
  const ctx = {clock, prober: {isAlive}, boundary: {run}};
  const detector = new StallDetector({
    ctx: ctx as unknown as RequestContext,
    target: new Target({record: RECORD, clock}),
    attemptId: 'try-1',
    isResumed,
    hasCopy: () => true,
    onStalled: () => (stalledMs = clock.now() - startMs),
  });
  detector.start(FIRST_CHECK_MS);
  for (let i = 0; i < 60; i++) {
    clock.advance(STEP_MS);
    for (let turn = 0; turn < 10; turn++) await Promise.resolve();
  }
  detector.stop();
  return {probesMs, stalledMs};
}

describe('an engine that reads a prompt', () => {
  it.each([
    {
      name: 'less and less often for a new stream',
      isResumed: false,
      lostAtMs: Infinity,
      first: [400, 800, 1_600, 2_400],
      stalled: undefined,
    },
    {
      name: 'as often as at first within a stream',
      isResumed: true,
      lostAtMs: Infinity,
      first: [400, 800, 1_200, 1_600],
      stalled: undefined,
    },
    {
      name: 'until it is lost',
      isResumed: false,
      lostAtMs: 1_700,
      first: [400, 800, 1_600, 2_400],
      stalled: 2_400,
    },
  ])('is probed $name', async ({isResumed, lostAtMs, first, stalled}) => {
    const {probesMs, stalledMs} = await watch({isResumed, lostAtMs});
    expect(probesMs.slice(0, first.length)).toEqual(first);
    expect(stalledMs).toBe(stalled);
  });
});
