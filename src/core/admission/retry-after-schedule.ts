/** When refused callers are asked to come back. */
import type {RandomSource} from '../clock/index.js';
import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER,
} from './consts.js';

/** What is known of a queue when it refuses a request. */
export interface RetryAfterQuery {
  readonly nowMs: number;
  /** Time until the requests that wait now have left the queue. */
  readonly waitMs: number;
  /** Time between two requests that leave the queue. */
  readonly intervalMs: number;
}

/**
 * Gives each refused caller a later turn than the one before, at the rate at
 * which the queue drains, so that they do not come back all at once.
 *
 * @example
 * schedule.next({nowMs: clock.now(), waitMs: 800, intervalMs: 40});
 */
export class RetryAfterSchedule {
  private lastTurnAtMs = 0;

  constructor(private readonly options: {random: RandomSource}) {}

  /** Time after which this caller should come back, in milliseconds. */
  next(query: RetryAfterQuery): number {
    const {nowMs, waitMs, intervalMs} = query;
    const afterMs = Math.max(this.lastTurnAtMs, nowMs + waitMs);
    const latestMs = nowMs + MAX_RETRY_AFTER_MS;
    const turnAtMs = Math.min(afterMs + intervalMs, latestMs);
    this.lastTurnAtMs = turnAtMs;
    const spread = (2 * this.options.random.float() - 1) * RETRY_AFTER_JITTER;
    const delayMs = Math.max(turnAtMs - nowMs, MIN_RETRY_AFTER_MS);
    return Math.round(delayMs * (1 + spread));
  }
}
