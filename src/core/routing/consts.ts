/**
 * Round trip between an entry and an agent, in milliseconds. An agent counts
 * its requests when it sends a report, so the report includes the requests
 * that were sent up to one round trip before it arrives.
 */
export const REPORT_ROUND_TRIP_MS = 3;

/** Time for which past request counts are kept, in milliseconds. */
export const COUNT_RETENTION_MS = 1_000;

/** Time until a recovered target takes its full share, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** Share of its capacity that a target may use right after it recovered. */
export const SLOW_START_SHARE = 0.1;

/**
 * Difference by which a target with the cached prefix may have a higher
 * utilisation than the drawn target.
 */
export const PREFIX_SLACK = 0.25;

/** Multiple of a target's capacity at which its reported load is capped. */
export const MAX_REPORTED_UTILISATION = 2;

/** Window in which the outcomes of a target are counted, in milliseconds. */
export const FAILURE_WINDOW_MS = 10_000;

/** Number of outcomes in a window before a target can be ejected. */
export const MIN_OUTCOMES = 5;

/** Least share of failed outcomes at which a target is ejected. */
export const FAILURE_SHARE_THRESHOLD = 0.5;

/**
 * Length of the first ejection, in milliseconds; each consecutive one is twice
 * as long.
 */
export const BASE_EJECTION_MS = 5_000;

/** Longest ejection, in milliseconds. */
export const MAX_EJECTION_MS = 60_000;

/** Share of a service's usable targets that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.5;
