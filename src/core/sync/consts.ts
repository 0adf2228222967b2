/** Initial backoff after a failed call, in milliseconds. */
export const MIN_BACKOFF_MS = 60;

/** Maximum backoff after failed calls, in milliseconds. */
export const MAX_BACKOFF_MS = 700;

/**
 * Longest delay of changes to a waiting client by a store that discards its
 * history, in milliseconds.
 */
export const MAX_CHANGE_DELAY_MS = 1_000;

/** Delay before a requested refresh lists again, in milliseconds. */
export const REFRESH_DELAY_MS = 5;
