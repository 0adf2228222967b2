/** First pause after a failed call, in milliseconds. */
export const MIN_BACKOFF_MS = 60;

/** Longest pause after failed calls, in milliseconds. */
export const MAX_BACKOFF_MS = 700;

/**
 * Time for which a store that drops its history may keep changes from those
 * who wait for them, in milliseconds.
 */
export const MAX_CHANGE_DELAY_MS = 1_000;

/** Time until a list that was asked for is read, in milliseconds. */
export const REFRESH_DELAY_MS = 5;
