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
  readonly firstTry: boolean;
}

/** The naive twin: it keeps every event and counts them anew each time. */
class NaiveBudget {
  private readonly events: Array<{slice: number; firstTry: boolean}> = [];

  note(nowMs: number): void {
    this.events.push({slice: Math.floor(nowMs / SLICE_MS), firstTry: true});
  }

  tryRetry(nowMs: number): boolean {
    const slice = Math.floor(nowMs / SLICE_MS);
    const recent = this.events.filter((e) => e.slice > slice - 10);
    const firstTries = recent.filter((e) => e.firstTry).length;
    const retries = recent.length - firstTries;
    const allowed = Math.max(RETRY_FLOOR, Math.floor(RATIO * firstTries));
    if (retries >= allowed) return false;
    this.events.push({slice, firstTry: false});
    return true;
  }
}

const stepArb = fc.record({
  waitMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 4_000})),
  firstTry: fc.boolean(),
});

describe('RetryBudget', () => {
  it('allows what the naive twin allows', () => {
    fc.assert(
      fc.property(fc.array(stepArb, {maxLength: 300}), (steps: Step[]) => {
        const clock = new ManualClock();
        const budget = new RetryBudget({clock, ratio: RATIO});
        const naive = new NaiveBudget();
        for (const {waitMs, firstTry} of steps) {
          clock.advance(waitMs);
          if (firstTry) {
            budget.recordFirstAttempt();
            naive.note(clock.now());
          } else {
            expect(budget.tryTakeRetry()).toBe(naive.tryRetry(clock.now()));
          }
        }
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it.each([1, 2, 10])(
    'bounds amplification at 1.1 when all fails %i times over',
    (wantedPerTry) => {
      const clock = new ManualClock();
      const budget = new RetryBudget({clock, ratio: RATIO});
      let sent = 0;
      const firstTries = 10_000;
      for (let i = 0; i < firstTries; i++) {
        clock.advance(10);
        budget.recordFirstAttempt();
        sent++;
        for (let k = 0; k < wantedPerTry && budget.tryTakeRetry(); k++) sent++;
      }
      expect(sent / firstTries).toBeLessThanOrEqual(1.1);
      expect(sent / firstTries).toBeGreaterThan(1.09);
    },
  );

  it('allows the retry of a lone failure', () => {
    const budget = new RetryBudget({clock: new ManualClock(), ratio: RATIO});
    budget.recordFirstAttempt();
    expect(budget.tryTakeRetry()).toBe(true);
  });
});

describe('RetryBudgets', () => {
  it('shares one budget per service and none between services', () => {
    const budgets = new RetryBudgets({clock: new ManualClock()});
    const stock = {name: 'stock', retryRatio: RATIO};
    const drafts = {name: 'drafts', retryRatio: RATIO};
    for (let i = 0; i < RETRY_FLOOR; i++)
      budgets.forService(stock).tryTakeRetry();
    expect(budgets.forService(stock).tryTakeRetry()).toBe(false);
    expect(budgets.forService(drafts).tryTakeRetry()).toBe(true);
  });
});
