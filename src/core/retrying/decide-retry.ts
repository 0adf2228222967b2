/** What follows a call that has no good answer. */
import {ExchangeFailure} from '../edges/direct-target.js';
import {RefusalReason, RetryReason} from '../errors/refusals.js';
import {OperationKind} from '../routes/index.js';

/** First status of a target's own failures. */
const FIRST_FAILURE_STATUS = 500;

/** How one try of a call ended. */
export interface AttemptResult {
  /** Present where there is no answer. */
  readonly failure?: ExchangeFailure;
  /** Present where the target answered. */
  readonly status?: number;
}

/** What is known when a try has ended. */
export interface RetryQuery {
  readonly operation: OperationKind;
  readonly result: AttemptResult;
  /** Targets to which the call was sent. */
  readonly sentCount: number;
  readonly maxAttempts: number;
  /** Whether another target is there. */
  readonly hasOtherTarget: boolean;
  /** Takes one repeat out of the service's budget, if one is left. */
  readonly takeFromBudget: () => boolean;
}

/** What to do next. */
export enum RetryDecision {
  /** Pass the target's answer on. */
  PASS_ON = 'pass_on',
  /** Send the call to another target. */
  RETRY = 'retry',
  /** Tell the caller that the call failed. */
  FAIL = 'give_up',
}

const NOT_RUN: ReadonlySet<ExchangeFailure> = new Set([
  ExchangeFailure.NOT_SENT,
  ExchangeFailure.REJECTED,
  ExchangeFailure.WRONG_TARGET,
]);

const NOT_RECEIVED: ReadonlySet<ExchangeFailure> = new Set([
  ExchangeFailure.NOT_SENT,
  ExchangeFailure.WRONG_TARGET,
]);

/**
 * Whether a failed try certainly had no effect.
 *
 * @example
 * certainlyDidNotRun(ExchangeFailure.REJECTED); // true
 */
export function certainlyDidNotRun(failure: ExchangeFailure): boolean {
  return NOT_RUN.has(failure);
}

/**
 * Why work is sent again after a failed try, or after a failed answer.
 *
 * @example
 * retryReasonOf(ExchangeFailure.REJECTED, RetryReason.CALL_LOST);
 * // RetryReason.TARGET_REFUSED
 */
export function retryReasonOf(
  failure: ExchangeFailure | undefined,
  /** The reason where the try may have had an effect. */
  whenLost: RetryReason,
): RetryReason {
  switch (failure) {
    case ExchangeFailure.NOT_SENT:
      return RetryReason.NOT_SENT;
    case ExchangeFailure.REJECTED:
      return RetryReason.TARGET_REFUSED;
    case ExchangeFailure.WRONG_TARGET:
      return RetryReason.TARGET_REPLACED;
    default:
      return whenLost;
  }
}

/**
 * Whether a try counts towards the targets that a call may be sent to.
 *
 * @example
 * countsAsSent(ExchangeFailure.NOT_SENT); // false
 */
export function countsAsSent(failure: ExchangeFailure | undefined): boolean {
  return failure === undefined || !NOT_RECEIVED.has(failure);
}

/**
 * Whether a try shows the target to fail: it answered with a failure of its
 * own, or with none.
 *
 * @example
 * isTargetFailure({status: 500}); // true
 */
export function isTargetFailure({failure, status = 0}: AttemptResult): boolean {
  if (failure !== undefined) return !certainlyDidNotRun(failure);
  return status >= FIRST_FAILURE_STATUS;
}

/**
 * Decides what follows a try. An idempotent call is repeated after a failed
 * answer too; any other only where the try had no effect.
 *
 * @example
 * const verdict = decideRetry({operation, end: {status: 500}, ...rest});
 */
export function decideRetry(query: RetryQuery): RetryDecision {
  const {operation, result: end, sentCount: sent, maxAttempts} = query;
  const isAnswered = end.failure === undefined;
  if (isAnswered && !isTargetFailure(end)) return RetryDecision.PASS_ON;
  const otherwise = isAnswered ? RetryDecision.PASS_ON : RetryDecision.FAIL;
  const isHarmless =
    end.failure !== undefined && certainlyDidNotRun(end.failure);
  if (operation === OperationKind.UNSAFE && !isHarmless) return otherwise;
  if (sent >= maxAttempts || !query.hasOtherTarget) return otherwise;
  return query.takeFromBudget() ? RetryDecision.RETRY : otherwise;
}

/** The status and reason with which a failed call is answered. */
export interface FailureResponse {
  readonly status: number;
  readonly reason: RefusalReason;
}

/** Why a call is given up. */
export interface FailureQuery {
  /** Some target may have run the call. */
  readonly mayHaveRun: boolean;
  readonly isTimedOut: boolean;
}

/**
 * The answer to a call that is given up: 503 promises that it did not run,
 * 502 and 504 promise nothing.
 *
 * @example
 * answerFailure({mayHaveRun: true, isTimedOut: false}).status; // 502
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
