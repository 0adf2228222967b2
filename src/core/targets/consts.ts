/** Time for which a received load report is used, in milliseconds. */
export const MAX_REPORT_AGE_MS = 1_000;

/** Consecutive failures after which a target is paused. */
export const FAILURES_BEFORE_PAUSE = 3;

/**
 * First pause of a failing target, in milliseconds; each further one before it
 * responds is twice as long.
 */
export const PAUSE_AFTER_FAILURE_MS = 600;

/** Longest pause of a target, in milliseconds. */
export const LONGEST_PAUSE_MS = 4_000;

/**
 * Time for which a target that rejected a request counts as full, in
 * milliseconds.
 */
export const FULL_AFTER_REJECT_MS = 150;

/**
 * Time after an outage of the store in which a target whose registration
 * is missing may register again, in milliseconds.
 */
export const REREGISTRATION_GRACE_MS = 2_000;

/** Targets that began to drain or left and are remembered. */
export const MAX_GONE_TARGETS = 4_096;

/** Assumed age of a load report when it arrives, in milliseconds. */
export const REPORT_LAG_MS = 200;

/** Number of gaps between events from which one mean is computed. */
export const EVENT_GAP_SAMPLES = 6;

/**
 * Factor by which the shortest mean gap grows with each new mean, so that it
 * rises when the target slows down.
 */
export const EVENT_GAP_GROWTH = 1.03;

/** Weight of the newest response in the failure share. */
export const FAILURE_WEIGHT = 0.08;

/** Maximum number of addresses for which the event gap is remembered. */
export const MAX_REMEMBERED_GAPS = 4_096;

/** Longest time for which a target may ask for no work, in milliseconds. */
export const MAX_BACKOFF_MS = 300_000;

/** Time in which a reported slowness loses half of its weight, in ms. */
export const SLOWNESS_HALF_LIFE_MS = 300;

/** The same for the number of other entries' requests at the target. */
export const OTHERS_HALF_LIFE_MS = 80;

/** Weight of the newest report in the usual figure of a target. */
export const USUAL_WEIGHT = 0.05;
