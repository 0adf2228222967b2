/** Computes the Retry-After of refused requests. */
import type {RandomSource} from '../clock/index.js';
import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER,
} from './consts.js';

/** State of a queue when it refuses a request. */
export interface RetryAfterQuery {
  readonly nowMs: number;
  /** Estimated time until the waiting requests have left the queue. */
  readonly waitMs: number;
  /** Mean time between two departures from the queue. */
  readonly intervalMs: number;
}

/**
 * Gives each refused caller a later retry time than the one before, spaced by
 * the rate at which the queue drains, so that callers do not retry all at
 * once.
 *
 * @example
 * schedule.next({nowMs: clock.now(), waitMs: 800, intervalMs: 40});
 */
export class RetryAfterSchedule {
  private lastRetryAtMs = 0;

  constructor(private readonly options: {random: RandomSource}) {}

  /** Time after which this caller should retry, in milliseconds. */
  next(query: RetryAfterQuery): number {
    const {nowMs, waitMs, intervalMs} = query;
    const earliestMs = Math.max(this.lastRetryAtMs, nowMs + waitMs);
    const latestMs = nowMs + MAX_RETRY_AFTER_MS;
    const retryAtMs = Math.min(earliestMs + intervalMs, latestMs);
    this.lastRetryAtMs = retryAtMs;
    const jitter = (2 * this.options.random.float() - 1) * RETRY_AFTER_JITTER;
    const delayMs = Math.max(retryAtMs - nowMs, MIN_RETRY_AFTER_MS);
    return Math.round(delayMs * (1 + jitter));
  }
}
