/** Repeating calls by what they are. */
export type {
  FailureAnswer,
  FailureQuery,
  RetryQuery,
  TryEnd,
} from './decide-retry.js';
export {
  answerFailure,
  certainlyDidNotRun,
  countsAsSent,
  decideRetry,
  isTargetFailure,
  retryReasonOf,
  RetryVerdict,
} from './decide-retry.js';
