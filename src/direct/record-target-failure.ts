/** What a failed exchange tells of its target. */
import {ExchangeFailure} from '../core/edges/direct-target.js';
import type {Target} from '../core/targets/index.js';

/**
 * Takes a failed exchange into account when targets are chosen.
 *
 * @example
 * noteFailureAt(target, ExchangeFailure.REJECTED);
 */
export function recordTargetFailure(
  target: Target,
  failure: ExchangeFailure,
): void {
  switch (failure) {
    case ExchangeFailure.REJECTED:
      target.recordRejected();
      break;
    case ExchangeFailure.WRONG_TARGET:
      target.recordIncarnationEnded();
      break;
    case ExchangeFailure.NOT_SENT:
      target.pause();
      break;
    default:
      target.recordFailure();
  }
}
