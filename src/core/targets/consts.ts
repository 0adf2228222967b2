/** Age up to which a reported load is used, in milliseconds. */
export const MAX_REPORT_AGE_MS = 1_000;

/** Failures in a row after which a target is left alone for a while. */
export const FAILURES_BEFORE_PAUSE = 3;

/** Time for which a failing target takes no work, in milliseconds. */
export const PAUSE_AFTER_FAILURE_MS = 600;

/** Longest time for which a target takes no work, in milliseconds. */
export const LONGEST_PAUSE_MS = 4_000;

/** Time for which a target that had no room takes no work. */
export const PAUSE_AFTER_REJECT_MS = 150;

/**
 * Time after an outage of the store in which a target whose registration
 * is missing may register again, in milliseconds.
 */
export const REREGISTRATION_GRACE_MS = 2_000;

/** Age of what a target reports of itself, in milliseconds. */
export const REPORT_LAG_MS = 200;

/** Events over which the pace of a stream is averaged. */
export const EVENT_GAP_SAMPLES = 6;

/** Growth of a known pace with each average, so that slowing shows. */
export const EVENT_GAP_GROWTH = 1.03;

/** Weight of the newest answer in the share of failures. */
export const FAILURE_WEIGHT = 0.08;

/** Addresses of former targets whose pace is remembered. */
export const MAX_REMEMBERED_GAPS = 4_096;
