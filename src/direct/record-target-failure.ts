/** Updates a target's health after a failed exchange. */
import {ExchangeFailure} from '../core/edges/direct-target.js';
import type {Target} from '../core/targets/index.js';

/**
 * Records a failed exchange at its target, which affects later choices.
 *
 * @example
 * recordTargetFailure(target, ExchangeFailure.REJECTED);
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
