/** Initial backoff after a failed call, in milliseconds. */
export const MIN_BACKOFF_MS = 60;

/** Maximum backoff after failed calls, in milliseconds. */
export const MAX_BACKOFF_MS = 700;

/**
 * Maximum time for which a store that discards its history may withhold changes
 * from waiting clients, in milliseconds.
 */
export const MAX_CHANGE_DELAY_MS = 1_000;

/**
 * Time after the return of a restored store in which what was lost is written
 * again, in milliseconds.
 */
export const RESTORE_SETTLE_MS = 2_000;

/** Delay before a requested refresh lists again, in milliseconds. */
export const REFRESH_DELAY_MS = 5;

/** Shortest wait for changes, in milliseconds. */
export const MIN_WAIT_MS = 200;

/** Longest wait for the leading follower in an outage, in milliseconds. */
export const MAX_OUTAGE_WAIT_MS = 3_000;
