/** Decides whether failed calls are retried. */
export type {
  FailureResponse,
  FailureQuery,
  RetryQuery,
  AttemptResult,
} from './decide-retry.js';
export {
  toFailureResponse,
  certainlyDidNotRun,
  countsAsSent,
  decideRetry,
  isTargetFailure,
  promisesNotRun,
  retryReasonOf,
  RetryDecision,
} from './decide-retry.js';
