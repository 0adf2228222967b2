/** How many bytes of bodies a target is sent at once. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  BodyAllowance,
  CRASH_MS,
  EXEMPT_BODY_BYTES,
  MAX_HELD_BYTES,
  MIN_HELD_BYTES,
  RECOVERY_MS,
} from '../../../src/core/targets/body-allowance.js';

const SEED = 20261206;

const START_MS = 1_000_000;

const BODY_BYTES = 4 * 1024 * 1024;

/** Bodies of the largest size that are sent one after the other. */
function takeMany(allowance: BodyAllowance, nowMs: number): number {
  let count = 0;
  while (count < 100 && allowance.tryTake(BODY_BYTES, nowMs)) count++;
  return count;
}

describe('the allowance for bodies at a target', () => {
  it.each([
    {what: 'a sound target', lossesAtMs: [], afterMs: 0, bodies: 4},
    {what: 'just after a loss', lossesAtMs: [0], afterMs: 0, bodies: 2},
    {
      what: 'before it recovers',
      lossesAtMs: [0],
      afterMs: RECOVERY_MS - 1,
      bodies: 2,
    },
    {
      what: 'once it has recovered',
      lossesAtMs: [0],
      afterMs: RECOVERY_MS,
      bodies: 4,
    },
    {what: 'after losses again', lossesAtMs: [0, 1], afterMs: 1, bodies: 1},
  ])('takes $bodies large bodies: $what', (row) => {
    const allowance = new BodyAllowance();
    for (const atMs of row.lossesAtMs) {
      const count = takeMany(allowance, START_MS + atMs);
      allowance.recordLoss(START_MS + atMs);
      for (let i = 0; i < count; i++) allowance.release(BODY_BYTES);
    }
    expect(takeMany(allowance, START_MS + row.afterMs)).toBe(row.bodies);
  });

  it.each([
    {what: 'of one crash', newAtMs: 0, lostAgainMs: 1, bodies: 2},
    {what: 'of bodies sent after it', newAtMs: 1, lostAgainMs: 2, bodies: 1},
    {
      what: 'long after it',
      newAtMs: 0,
      lostAgainMs: CRASH_MS,
      bodies: 1,
    },
  ])('takes $bodies large bodies after losses $what', (row) => {
    const allowance = new BodyAllowance();
    const count = takeMany(allowance, START_MS);
    allowance.recordLoss(START_MS, START_MS);
    allowance.release(BODY_BYTES);
    for (let i = 1; i < count; i++) {
      const takenAtMs = START_MS + row.newAtMs;
      allowance.recordLoss(START_MS + row.lostAgainMs, takenAtMs);
      allowance.release(BODY_BYTES);
    }
    expect(takeMany(allowance, START_MS + row.lostAgainMs)).toBe(row.bodies);
  });

  it('always takes small bodies', () => {
    const allowance = new BodyAllowance();
    takeMany(allowance, START_MS);
    for (let i = 0; i < 10_000; i++)
      expect(allowance.tryTake(EXEMPT_BODY_BYTES, START_MS)).toBe(true);
  });

  it('always takes one body alone, however large', () => {
    const allowance = new BodyAllowance();
    expect(allowance.tryTake(2 * MAX_HELD_BYTES, START_MS)).toBe(true);
    expect(allowance.tryTake(BODY_BYTES, START_MS)).toBe(false);
  });

  it('is not lowered by the loss of a target that holds little', () => {
    const allowance = new BodyAllowance();
    expect(allowance.tryTake(MIN_HELD_BYTES, START_MS)).toBe(true);
    allowance.recordLoss(START_MS);
    allowance.release(MIN_HELD_BYTES);
    expect(takeMany(allowance, START_MS)).toBe(4);
  });

  it('holds at most its bound, or one body, and ends at nothing', () => {
    const size = fc.integer({min: 0, max: 2 * BODY_BYTES});
    const step = fc.record({size, isLost: fc.boolean()});
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), (steps) => {
        const allowance = new BodyAllowance();
        const taken: number[] = [];
        for (const {size: bytes, isLost} of steps) {
          if (allowance.tryTake(bytes, START_MS)) taken.push(bytes);
          if (isLost) allowance.recordLoss(START_MS);
          expect(allowance.heldBytes).toBeLessThanOrEqual(MAX_HELD_BYTES);
        }
        for (const bytes of taken) allowance.release(bytes);
        expect(allowance.heldBytes).toBe(0);
      }),
      {seed: SEED, numRuns: 200},
    );
  });
});
