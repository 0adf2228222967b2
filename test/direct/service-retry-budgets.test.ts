/** Simulates many entries and counts the retries that the budgets allow. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {ExchangeFailure} from '../../src/core/edges/direct-target.js';
import {RetryReason} from '../../src/core/errors/refusals.js';
import {retryReasonOf} from '../../src/core/retrying/index.js';
import {ServiceRetryBudgets} from '../../src/direct/service-retry-budgets.js';

const SETTINGS = {ratio: 0.8, windowMs: 10_000, slack: 150};

interface Case {
  readonly entries: number;
  /** Requests of one entry in the window. */
  readonly requests: number;
  readonly reason: RetryReason;
}

const CASES: readonly Case[] = [
  {entries: 4, requests: 8, reason: RetryReason.TARGET_REFUSED},
  {entries: 5, requests: 13, reason: RetryReason.TARGET_REFUSED},
  {entries: 28, requests: 8, reason: RetryReason.TARGET_REFUSED},
  {entries: 28, requests: 0, reason: RetryReason.TARGET_REFUSED},
  {entries: 4, requests: 8, reason: RetryReason.ENGINE_DIED},
  {entries: 5, requests: 13, reason: RetryReason.TARGET_REPLACED},
  {entries: 5, requests: 130, reason: RetryReason.CALL_LOST},
];

describe('ServiceRetryBudgets', () => {
  it.each(CASES)(
    'limits the retries of $entries entries with $requests requests each: $reason',
    ({entries, requests, reason}) => {
      const clock = new ManualClock();
      let retries = 0;
      for (let entry = 0; entry < entries; entry++) {
        const budgets = new ServiceRetryBudgets({
          clock,
          settings: () => SETTINGS,
        });
        for (let i = 0; i < requests; i++) budgets.recordFirstAttempt('s');
        for (const hadOutput of [true, false]) {
          const query = {service: 's', reason, hadOutput};
          while (budgets.takeRetry(query)) retries++;
        }
      }
      const bound = SETTINGS.ratio * entries * requests + SETTINGS.slack;
      expect(retries).toBeLessThanOrEqual(bound);
    },
  );

  it('keeps the budgets for rejections and losses separate', () => {
    const clock = new ManualClock();
    const budgets = new ServiceRetryBudgets({clock, settings: () => SETTINGS});
    while (
      budgets.takeRetry({service: 's', reason: RetryReason.TARGET_REFUSED})
    );
    expect(
      budgets.takeRetry({service: 's', reason: RetryReason.ENGINE_DIED}),
    ).toBe(true);
  });

  it('allows a retry of every generation lost with one data centre', () => {
    // This entry has more than its share of the lost generations.
    const clock = new ManualClock();
    const budgets = new ServiceRetryBudgets({clock, settings: () => SETTINGS});
    for (let i = 0; i < 8; i++) budgets.recordFirstAttempt('s');
    const reason = RetryReason.ENGINE_DIED;
    const retries = Array.from({length: 19}, () =>
      budgets.takeRetry({service: 's', reason, hadOutput: true}),
    );
    expect(retries).not.toContain(false);
  });

  it('allows retries of requests that were sent to replaced targets', () => {
    // After a store outage each request may be sent to an outdated target.
    const clock = new ManualClock();
    const budgets = new ServiceRetryBudgets({clock, settings: () => SETTINGS});
    for (let i = 0; i < 10; i++) budgets.recordFirstAttempt('s');
    const reason = retryReasonOf(
      ExchangeFailure.WRONG_TARGET,
      RetryReason.ENGINE_DIED,
    );
    const retries = Array.from({length: 10}, () =>
      budgets.takeRetry({service: 's', reason}),
    );
    expect(retries).not.toContain(false);
  });

  it('does not count requests that never reached a target', () => {
    const clock = new ManualClock();
    const budgets = new ServiceRetryBudgets({clock, settings: () => SETTINGS});
    for (let i = 0; i < 1_000; i++) {
      expect(
        budgets.takeRetry({service: 's', reason: RetryReason.NOT_SENT}),
      ).toBe(true);
    }
  });
});
