import type {RandomSource} from '../core/clock/index.js';

/** Bounds of an exponential backoff, in milliseconds. */
export interface BackoffRange {
  /** Delay before the first retry. */
  readonly firstMs: number;
  readonly maxMs: number;
}

/**
 * Returns the delay before a retry. It doubles up to a maximum, and half of it
 * is random, so that the retries of many callers are spread over time.
 *
 * @example
 * resolveBackoff({range: {firstMs: 100, maxMs: 2_000}, attempt: 3, random});
 */
export function resolveBackoff(options: {
  range: BackoffRange;
  /** Number of failed attempts, from 1. */
  attempt: number;
  random: RandomSource;
}): number {
  const {range, attempt, random} = options;
  const full = Math.min(range.maxMs, range.firstMs * 2 ** (attempt - 1));
  return full / 2 + random.float() * (full / 2);
}
