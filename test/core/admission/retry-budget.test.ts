import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  RETRY_FLOOR,
  RETRY_WINDOW_MS,
  RetryBudget,
  RetryBudgets,
} from '../../../src/core/admission/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';

const SEED = 20261204;
const RATIO = 0.1;
const SLICE_MS = RETRY_WINDOW_MS / 10;

interface Step {
  readonly waitMs: number;
  readonly isFirstAttempt: boolean;
}

/** Reference model: keeps every event and counts them each time. */
class ReferenceBudget {
  private readonly events: Array<{slice: number; isFirstAttempt: boolean}> = [];

  recordFirstAttempt(nowMs: number): void {
    this.events.push({
      slice: Math.floor(nowMs / SLICE_MS),
      isFirstAttempt: true,
    });
  }

  tryTakeRetry(nowMs: number): boolean {
    const slice = Math.floor(nowMs / SLICE_MS);
    const recent = this.events.filter((e) => e.slice > slice - 10);
    const firstAttempts = recent.filter((e) => e.isFirstAttempt).length;
    const retries = recent.length - firstAttempts;
    const allowed = Math.max(RETRY_FLOOR, Math.floor(RATIO * firstAttempts));
    if (retries >= allowed) return false;
    this.events.push({slice, isFirstAttempt: false});
    return true;
  }
}

const stepArb = fc.record({
  waitMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 4_000})),
  isFirstAttempt: fc.boolean(),
});

describe('RetryBudget', () => {
  it('allows the same retries as the reference model', () => {
    fc.assert(
      fc.property(fc.array(stepArb, {maxLength: 300}), (steps: Step[]) => {
        const clock = new ManualClock();
        const budget = new RetryBudget({clock, ratio: RATIO});
        const reference = new ReferenceBudget();
        for (const {waitMs, isFirstAttempt} of steps) {
          clock.advance(waitMs);
          if (isFirstAttempt) {
            budget.recordFirstAttempt();
            reference.recordFirstAttempt(clock.now());
          } else {
            expect(budget.tryTakeRetry()).toBe(
              reference.tryTakeRetry(clock.now()),
            );
          }
        }
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it.each([1, 2, 10])(
    'bounds amplification at 1.1 if every request needs %i retries',
    (retriesPerAttempt) => {
      const clock = new ManualClock();
      const budget = new RetryBudget({clock, ratio: RATIO});
      let sent = 0;
      const firstAttempts = 10_000;
      for (let i = 0; i < firstAttempts; i++) {
        clock.advance(10);
        budget.recordFirstAttempt();
        sent++;
        for (let k = 0; k < retriesPerAttempt && budget.tryTakeRetry(); k++)
          sent++;
      }
      expect(sent / firstAttempts).toBeLessThanOrEqual(1.1);
      expect(sent / firstAttempts).toBeGreaterThan(1.09);
    },
  );

  it('allows the retry of a single failure', () => {
    const budget = new RetryBudget({clock: new ManualClock(), ratio: RATIO});
    budget.recordFirstAttempt();
    expect(budget.tryTakeRetry()).toBe(true);
  });
});

describe('RetryBudgets', () => {
  it('keeps one budget per service', () => {
    const budgets = new RetryBudgets({clock: new ManualClock()});
    const stock = {name: 'stock', retryRatio: RATIO};
    const drafts = {name: 'drafts', retryRatio: RATIO};
    for (let i = 0; i < RETRY_FLOOR; i++)
      budgets.forService(stock).tryTakeRetry();
    expect(budgets.forService(stock).tryTakeRetry()).toBe(false);
    expect(budgets.forService(drafts).tryTakeRetry()).toBe(true);
  });
});
