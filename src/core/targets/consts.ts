/** Age up to which a load report is used, in milliseconds. */
export const MAX_REPORT_AGE_MS = 1_000;

/** Consecutive failures after which a target is paused. */
export const FAILURES_BEFORE_PAUSE = 3;

/** First pause of a failing target, in milliseconds; doubles each time. */
export const PAUSE_AFTER_FAILURE_MS = 600;

/** Longest pause of a target, in milliseconds. */
export const LONGEST_PAUSE_MS = 4_000;

/**
 * Time for which a target that rejected a request counts as full, in
 * milliseconds.
 */
export const PAUSE_AFTER_REJECT_MS = 150;

/**
 * Time after an outage of the store in which a target whose registration
 * is missing may register again, in milliseconds.
 */
export const REREGISTRATION_GRACE_MS = 2_000;

/** Age of a load report when it arrives, in milliseconds. */
export const REPORT_LAG_MS = 200;

/** Gaps between events that make up one mean. */
export const EVENT_GAP_SAMPLES = 6;

/**
 * Factor by which the shortest mean gap grows with each new mean, so that a
 * slowdown shows.
 */
export const EVENT_GAP_GROWTH = 1.03;

/** Weight of the newest response in the failure share. */
export const FAILURE_WEIGHT = 0.08;

/** Addresses of removed targets for which the event gap is kept. */
export const MAX_REMEMBERED_GAPS = 4_096;
