/** What the loss of a target tells about its data centre and its request. */
import {ExchangeFailure} from '../../core/edges/direct-target.js';
import {RetryReason} from '../../core/errors/refusals.js';
import {certainlyDidNotRun} from '../../core/retrying/index.js';

/** Why a stream lost its target. */
export interface TargetLoss {
  readonly reason: RetryReason;
  readonly detail: string;
  /** Present if the exchange itself failed. */
  readonly failure?: ExchangeFailure;
}

/** Reasons of a loss that show that the data centre is reachable. */
const DATA_CENTRE_ALIVE_REASONS: ReadonlySet<RetryReason> = new Set([
  RetryReason.CALLER_SLOW,
  RetryReason.HELD_BACK,
  RetryReason.TARGET_REFUSED,
  RetryReason.TARGET_REPLACED,
]);

/** Reasons of a loss that the request itself may have caused. */
const POSSIBLE_CRASH_REASONS: ReadonlySet<RetryReason> = new Set([
  RetryReason.ENGINE_DIED,
  RetryReason.ENGINE_STALLED,
]);

/**
 * Whether the lost target certainly did not run the request.
 *
 * @example
 * lostBeforeRun({...loss, failure: ExchangeFailure.NOT_SENT}); // true
 */
export function lostBeforeRun({failure}: TargetLoss): boolean {
  return failure !== undefined && certainlyDidNotRun(failure);
}

/**
 * Whether the entry itself held the request back, so that nothing was sent.
 *
 * @example
 * wasHeldBack({...loss, failure: ExchangeFailure.HELD_BACK}); // true
 */
export function wasHeldBack({failure}: TargetLoss): boolean {
  return failure === ExchangeFailure.HELD_BACK;
}

/**
 * Whether the request itself may have crashed the lost target.
 *
 * @example
 * mayBeCrash({reason: RetryReason.ENGINE_DIED, detail: 'reset'}); // true
 */
export function mayBeCrash(loss: TargetLoss): boolean {
  return !lostBeforeRun(loss) && POSSIBLE_CRASH_REASONS.has(loss.reason);
}

/**
 * Whether the data centre of the lost target may be gone with it.
 *
 * @example
 * mayBeOutage({reason: RetryReason.TARGET_REFUSED, detail: ''}); // false
 */
export function mayBeOutage({reason}: TargetLoss): boolean {
  return !DATA_CENTRE_ALIVE_REASONS.has(reason);
}
