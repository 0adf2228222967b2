/** Updates a target after an exchange. */
import type {TargetNotice} from '../core/edges/direct-target.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';
import type {AttemptResult} from '../core/retrying/index.js';
import {isTargetFailure} from '../core/retrying/index.js';
import type {Target} from '../core/targets/index.js';
import type {DirectContext} from './context.js';

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
    case ExchangeFailure.HELD_BACK:
    case ExchangeFailure.NO_MEMORY:
      // The entry itself had no room.
      break;
    default:
      target.recordFailure();
  }
}

/** Failures that tell nothing of the target. */
const OWN_FAILURES: ReadonlySet<ExchangeFailure | undefined> = new Set([
  ExchangeFailure.HELD_BACK,
  ExchangeFailure.NO_MEMORY,
]);

/**
 * Records whether an exchange failed at its target, unless it failed for want of
 * the entry's own room.
 *
 * @example
 * recordOutcome(target, {status: 500});
 */
export function recordOutcome(target: Target, result: AttemptResult): void {
  if (OWN_FAILURES.has(result.failure)) return;
  target.recordResponse(isTargetFailure(result));
}

/**
 * Records what a target told of itself, which affects later choices.
 *
 * @example
 * recordNotice({ctx, target, notice});
 */
export function recordNotice(options: {
  ctx: Pick<DirectContext, 'limits' | 'logger'>;
  target: Target;
  notice: TargetNotice;
}): void {
  const {ctx, target, notice} = options;
  const {logger} = ctx;
  const {isLeaving, backoffMs} = notice;
  recordLimit(options);
  if (isLeaving && !target.record.isDraining) {
    logger.info('target tells that it leaves', {target: target.id});
  }
  if (isLeaving) target.recordLeaving();
  if (backoffMs === undefined) return;
  logger.info('target asks for no work', {target: target.id, backoffMs});
  target.recordBackoff(backoffMs);
}

/** Only a response that the target itself wrote ends its limit. */
function recordLimit(options: {
  ctx: Pick<DirectContext, 'limits' | 'logger'>;
  target: Target;
  notice: TargetNotice;
}): void {
  const {ctx, target, notice} = options;
  const {limitPerSecond, isOwnWords} = notice;
  const isNamed = limitPerSecond !== undefined;
  if (!isNamed && !isOwnWords) return;
  const before = target.limitPerSecond;
  target.recordLimit(limitPerSecond);
  if (before === limitPerSecond) return;
  ctx.logger.info(isNamed ? 'target names a limit' : 'target names no limit', {
    target: target.id,
    limitPerSecond,
    before,
    recentlySent: target.recentlySent(),
  });
  ctx.limits.tell(target);
}
