/**
 * Round trip between an entry and an agent, in milliseconds. An agent counts
 * its requests when it sends a report, so a report holds those that were sent
 * to it a round trip before the report arrives.
 */
export const REPORT_ROUND_TRIP_MS = 3;

/** Time for which an entry's own counts are kept, in milliseconds. */
export const COUNT_RETENTION_MS = 1_000;

/** Time until a target that came back takes its full share. */
export const SLOW_START_MS = 10_000;

/** Share that a target takes when it has just come back. */
export const SLOW_START_SHARE = 0.1;

/** How far above the lighter choice a target with the prefix may be. */
export const PREFIX_SLACK = 0.25;

/** Reported load beyond this multiple of the capacity is not believed. */
export const MAX_REPORTED_UTILISATION = 2;

/** Time over which a target's outcomes are counted, in milliseconds. */
export const FAILURE_WINDOW_MS = 10_000;

/** Outcomes before a target is judged by them. */
export const MIN_OUTCOMES = 5;

/** Share of failed outcomes at which a target is ejected. */
export const FAILURE_SHARE_THRESHOLD = 0.5;

/** First ejection; each further one in a row is twice as long. */
export const BASE_EJECTION_MS = 5_000;

/** Longest ejection. */
export const MAX_EJECTION_MS = 60_000;

/** Share of a service's usable targets that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.5;
