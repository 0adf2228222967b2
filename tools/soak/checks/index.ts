/** The guarantees of the product, checked against the history of a run. */
import type {History} from '../history.js';
import {
  ALL_ANSWERED,
  AT_MOST_ONCE,
  DEADLINES_MET,
  COMPLETE_RESPONSES,
  RECOVERY,
  GRACEFUL_SHUTDOWN,
  REFUSED_NOT_RUN,
  COMPLETE_STREAMS,
  VALID_STATUSES,
} from './responses.js';
import {
  CANCELLED_RUNS,
  CONFIG_APPLIED,
  DRAINING_TARGETS,
  MOVED_ROUTES,
  NO_CONFIG_ROLLBACK,
  NO_OVERLAPPING_RUNS,
  RETRY_BUDGET,
  REVOKED_KEYS,
} from './control.js';
import {
  ANSWERED_AFTER_CROWDS,
  EARLY_SIGNALS,
  JSON_LOGS,
  MEMORY_LIMIT,
  NO_FAILED_TASKS,
  NO_UNEXPECTED_EXITS,
  TIMELY_STARTS,
  TIMELY_STOPS,
} from './processes.js';
import type {GuaranteeCheck, Violation} from './types.js';

export type {GuaranteeCheck, Violation} from './types.js';
export {entryComponent, settingsComponent, targetComponent} from './types.js';

/** All guarantees that the soak checks. */
export const GUARANTEES: readonly GuaranteeCheck[] = [
  COMPLETE_RESPONSES,
  COMPLETE_STREAMS,
  VALID_STATUSES,
  AT_MOST_ONCE,
  REFUSED_NOT_RUN,
  DEADLINES_MET,
  ALL_ANSWERED,
  GRACEFUL_SHUTDOWN,
  RECOVERY,
  REVOKED_KEYS,
  CONFIG_APPLIED,
  NO_CONFIG_ROLLBACK,
  MOVED_ROUTES,
  DRAINING_TARGETS,
  CANCELLED_RUNS,
  NO_OVERLAPPING_RUNS,
  RETRY_BUDGET,
  NO_UNEXPECTED_EXITS,
  EARLY_SIGNALS,
  TIMELY_STARTS,
  TIMELY_STOPS,
  MEMORY_LIMIT,
  ANSWERED_AFTER_CROWDS,
  NO_FAILED_TASKS,
  JSON_LOGS,
];

/**
 * Finds all violated guarantees of a run.
 *
 * @example
 * const violations = findViolations(history);
 */
export function findViolations(history: History): Violation[] {
  return GUARANTEES.flatMap(({guarantee: promise, find}) =>
    find(history).map((found) => ({promise, ...found})),
  );
}
