/** Updates a target after an exchange. */
import type {TargetNotice} from '../core/edges/direct-target.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
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
 * recordNotice({target, notice: {isLeaving: true}, logger});
 */
export function recordNotice(options: {
  target: Target;
  notice: TargetNotice;
  logger: Logger;
}): void {
  const {target, notice, logger} = options;
  const {isLeaving, backoffMs} = notice;
  recordLimit({target, notice, logger});
  if (isLeaving && !target.record.isDraining) {
    logger.info('target tells that it leaves', {target: target.id});
  }
  if (isLeaving) target.recordLeaving();
  if (backoffMs === undefined) return;
  logger.info('target asks for no work', {target: target.id, backoffMs});
  target.recordBackoff(backoffMs);
}

/** Only a target's own words end its limit. */
function recordLimit(options: {
  target: Target;
  notice: TargetNotice;
  logger: Logger;
}): void {
  const {target, notice, logger} = options;
  const {limitPerSecond, isOwnWords} = notice;
  const isNamed = limitPerSecond !== undefined;
  if (target.limitPerSecond === limitPerSecond || !(isNamed || isOwnWords))
    return;
  logger.info(isNamed ? 'target names a limit' : 'target names no limit', {
    target: target.id,
    limitPerSecond,
    before: target.limitPerSecond,
    recentlySent: target.recentlySent(),
  });
  target.recordLimit(limitPerSecond);
}
