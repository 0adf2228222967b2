/** Updates a target after an exchange. */
import type {TargetNotice} from '../core/edges/direct-target.js';
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

/**
 * Records what a target told of itself, which affects later choices.
 *
 * @example
 * recordNotice(target, {isLeaving: true});
 */
export function recordNotice(target: Target, {isLeaving}: TargetNotice): void {
  if (isLeaving) target.recordLeaving();
}
