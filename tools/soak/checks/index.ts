/** The promises of the product, checked against what one run showed. */
import type {History} from '../history.js';
import {
  ANSWERED,
  AT_MOST_ONCE,
  IN_TIME,
  OWN_ANSWERS,
  RECOVERED,
  STOPS_CUT_NOTHING,
  TRUE_REFUSALS,
  WHOLE_STREAMS,
} from './answers.js';
import {
  CANCELLED_RUNS,
  CLEAN_LOGS,
  IN_FORCE,
  LEAVING_TARGETS,
  MOVED_ROUTES,
  NO_REVERT,
  ONE_RUN_AT_A_TIME,
  OWN_ENDS,
  RETRY_BUDGET,
  REVOKED_KEYS,
} from './control.js';
import type {PromiseCheck, Violation} from './types.js';

export type {PromiseCheck, Violation} from './types.js';
export {entryPart, targetPart} from './types.js';

/** All promises that the soak checks. */
export const PROMISES: readonly PromiseCheck[] = [
  OWN_ANSWERS,
  WHOLE_STREAMS,
  AT_MOST_ONCE,
  TRUE_REFUSALS,
  IN_TIME,
  ANSWERED,
  STOPS_CUT_NOTHING,
  RECOVERED,
  REVOKED_KEYS,
  IN_FORCE,
  NO_REVERT,
  MOVED_ROUTES,
  LEAVING_TARGETS,
  CANCELLED_RUNS,
  ONE_RUN_AT_A_TIME,
  RETRY_BUDGET,
  OWN_ENDS,
  CLEAN_LOGS,
];

/**
 * Finds all broken promises of a run.
 *
 * @example
 * const violations = findViolations(history);
 */
export function findViolations(history: History): Violation[] {
  return PROMISES.flatMap(({promise, find}) =>
    find(history).map((found) => ({promise, ...found})),
  );
}
