/** Decides what to do after an attempt of a call. */
import {ExchangeFailure} from '../edges/direct-target.js';
import {RefusalReason, RetryReason} from '../errors/refusals.js';
import {OperationKind} from '../routes/index.js';

/** Lowest status that counts as a failure of the target. */
const FIRST_FAILURE_STATUS = 500;

/** Statuses by which an entry promises that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Result of one attempt of a call. */
export interface AttemptResult {
  /** Present if there was no response. */
  readonly failure?: ExchangeFailure;
  /** Present if the target responded. */
  readonly status?: number;
}

/** State of a call when an attempt has ended. */
export interface RetryQuery {
  readonly operation: OperationKind;
  readonly result: AttemptResult;
  /** Number of targets to which the call was sent. */
  readonly sentCount: number;
  readonly maxAttempts: number;
  /** Whether another target is available. */
  readonly hasOtherTarget: boolean;
  /**
   * Takes one retry from the service's budget; returns false if none is left.
   */
  readonly takeFromBudget: () => boolean;
}

/** What to do after an attempt. */
export enum RetryDecision {
  /** Forward the target's response. */
  PASS_ON = 'pass_on',
  /** Send the call to another target. */
  RETRY = 'retry',
  /** Return a failure to the caller. */
  FAIL = 'give_up',
}

/** Failures after which the call certainly did not run at the target. */
const NOT_RUN: ReadonlySet<ExchangeFailure> = new Set([
  ExchangeFailure.NOT_SENT,
  ExchangeFailure.HELD_BACK,
  ExchangeFailure.REJECTED,
  ExchangeFailure.WRONG_TARGET,
]);

/** Failures after which the chosen target certainly did not get the call. */
const NOT_RECEIVED: ReadonlySet<ExchangeFailure> = new Set([
  ExchangeFailure.NOT_SENT,
  ExchangeFailure.HELD_BACK,
  ExchangeFailure.WRONG_TARGET,
]);

/**
 * Whether a failed attempt certainly had no effect.
 *
 * @example
 * certainlyDidNotRun(ExchangeFailure.REJECTED); // true
 */
export function certainlyDidNotRun(failure: ExchangeFailure): boolean {
  return NOT_RUN.has(failure);
}

/**
 * Returns the reason of a retry after a failed attempt or response.
 *
 * @example
 * retryReasonOf(ExchangeFailure.REJECTED, RetryReason.CALL_LOST);
 * // RetryReason.TARGET_REFUSED
 */
export function retryReasonOf(
  failure: ExchangeFailure | undefined,
  /** The reason if the attempt may have had an effect. */
  fallback: RetryReason,
): RetryReason {
  switch (failure) {
    case ExchangeFailure.NOT_SENT:
      return RetryReason.NOT_SENT;
    case ExchangeFailure.HELD_BACK:
      return RetryReason.HELD_BACK;
    case ExchangeFailure.REJECTED:
      return RetryReason.TARGET_REFUSED;
    case ExchangeFailure.WRONG_TARGET:
      return RetryReason.TARGET_REPLACED;
    default:
      return fallback;
  }
}

/**
 * Whether an attempt counts towards the maximum number of attempts.
 *
 * @example
 * countsAsSent(ExchangeFailure.NOT_SENT); // false
 */
export function countsAsSent(failure: ExchangeFailure | undefined): boolean {
  return failure === undefined || !NOT_RECEIVED.has(failure);
}

/**
 * Whether an attempt counts as a failure of the target: a failure status, or
 * no response although the call may have run.
 *
 * @example
 * isTargetFailure({status: 500}); // true
 */
export function isTargetFailure({failure, status = 0}: AttemptResult): boolean {
  if (failure === ExchangeFailure.NO_MEMORY) return false;
  if (failure !== undefined) return !certainlyDidNotRun(failure);
  return status >= FIRST_FAILURE_STATUS;
}

/**
 * Whether a status would promise that a request has not run. A target that did
 * not run it says so in other words, which end the attempt as a failure.
 *
 * @example
 * promisesNotRun(503); // true
 */
export function promisesNotRun(status: number | undefined): boolean {
  return status !== undefined && NOT_RUN_STATUSES.has(status);
}

/**
 * Decides what to do after an attempt. An unsafe call is retried only if it
 * certainly did not run; any other call also after a failure status, or if it
 * may have run. Each retry needs another target, an attempt left and budget. An
 * unsafe call that may have run gets no status that promises the opposite.
 *
 * @example
 * const decision = decideRetry({operation, result: {status: 500}, ...rest});
 */
export function decideRetry(query: RetryQuery): RetryDecision {
  const {operation, result, sentCount, maxAttempts} = query;
  // The response of another target would find no memory either.
  if (result.failure === ExchangeFailure.NO_MEMORY) return RetryDecision.FAIL;
  const isAnswered = result.failure === undefined;
  const isUnsafe = operation === OperationKind.UNSAFE;
  if (isUnsafe && promisesNotRun(result.status)) return RetryDecision.FAIL;
  if (isAnswered && !isTargetFailure(result)) return RetryDecision.PASS_ON;
  const fallback = isAnswered ? RetryDecision.PASS_ON : RetryDecision.FAIL;
  const didNotRun =
    result.failure !== undefined && certainlyDidNotRun(result.failure);
  if (isUnsafe && !didNotRun) return fallback;
  if (sentCount >= maxAttempts || !query.hasOtherTarget) return fallback;
  return query.takeFromBudget() ? RetryDecision.RETRY : fallback;
}

/** Status and reason of the response to a failed call. */
export interface FailureResponse {
  readonly status: number;
  readonly reason: RefusalReason;
}

/** How a call failed. */
export interface FailureQuery {
  /** Some target may have run the call. */
  readonly mayHaveRun: boolean;
  readonly isTimedOut: boolean;
}

/**
 * Returns the response to a failed call. Status 503 guarantees that the call
 * did not run; after 502 and 504 it may have run.
 *
 * @example
 * toFailureResponse({mayHaveRun: true, isTimedOut: false}).status; // 502
 */
export function toFailureResponse(query: FailureQuery): FailureResponse {
  const {mayHaveRun, isTimedOut} = query;
  if (!mayHaveRun) {
    const reason = isTimedOut
      ? RefusalReason.DEADLINE_EXCEEDED
      : RefusalReason.NO_TARGET;
    return {status: 503, reason};
  }
  if (isTimedOut) {
    return {status: 504, reason: RefusalReason.DEADLINE_EXCEEDED};
  }
  return {status: 502, reason: RefusalReason.TARGET_FAILED};
}
