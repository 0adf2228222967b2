/** How long one attempt of a call may take. */
import {OperationKind} from '../core/routes/index.js';
import {SAFE_ATTEMPT_TIME_SHARE} from './consts.js';
import type {DirectWork} from './context.js';

/**
 * Time after which an idempotent call is sent to another target, in ms. For its
 * last attempt and for other calls it is longer than the deadline allows.
 *
 * @example
 * const delayMs = attemptTimeoutMs({work, leftMs: 800, sentCount: 0});
 */
export function attemptTimeoutMs(options: {
  work: DirectWork;
  /** Time until the deadline of the call, in milliseconds. */
  leftMs: number;
  /** Attempts so far that count towards the maximum of the route. */
  sentCount: number;
}): number {
  const {work, leftMs, sentCount} = options;
  const {operation, maxAttempts} = work.admitted.route;
  const mayRetry =
    operation === OperationKind.SAFE && sentCount + 1 < maxAttempts;
  const share = mayRetry ? SAFE_ATTEMPT_TIME_SHARE : 2;
  return Math.max(0, leftMs * share);
}
