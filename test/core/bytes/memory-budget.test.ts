/** Memory that all messages of a process share. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {MemoryBudget} from '../../../src/core/bytes/index.js';

const SEED = 20261205;

const LIMIT_BYTES = 100_000;

/** Bytes of each message that are not counted. */
const EXEMPT_BYTES = 16_384;

const STEP = fc.record({
  message: fc.integer({min: 0, max: 5}),
  bytes: fc.option(fc.integer({min: 0, max: 90_000}), {nil: undefined}),
});

describe('MemoryBudget', () => {
  it('never reserves more than its limit, and agrees with a plain sum', () => {
    fc.assert(
      fc.property(fc.array(STEP, {maxLength: 60}), (steps) => {
        const budget = new MemoryBudget({limitBytes: LIMIT_BYTES});
        const shares = Array.from({length: 6}, () => budget.open());
        const held = shares.map(() => 0);
        const sum = () => held.reduce((a, b) => a + b, 0);
        for (const {message, bytes} of steps) {
          const before = held[message]!;
          if (bytes === undefined) {
            shares[message]!.release();
            held[message] = 0;
          } else {
            const isReserved = shares[message]!.resize(bytes);
            held[message] = Math.max(0, bytes - EXEMPT_BYTES);
            const fits = sum() <= LIMIT_BYTES || held[message] <= before;
            expect(isReserved).toBe(fits);
            if (!fits) held[message] = before;
          }
          expect(budget.usedBytes).toBe(sum());
          expect(sum()).toBeLessThanOrEqual(LIMIT_BYTES);
        }
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it('takes small messages when it is full', () => {
    const budget = new MemoryBudget({limitBytes: 0});
    expect(budget.open().resize(EXEMPT_BYTES)).toBe(true);
    expect(budget.open().resize(EXEMPT_BYTES + 1)).toBe(false);
  });
});
