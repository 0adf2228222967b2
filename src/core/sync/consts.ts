/** First pause after a failed call, in milliseconds. */
export const FIRST_BACKOFF_MS = 60;

/** Longest pause after failed calls, in milliseconds. */
export const LAST_BACKOFF_MS = 700;

/**
 * Time for which a store that drops its history may keep changes from those
 * who wait for them, in milliseconds.
 */
export const DEAF_MS = 1_000;

/** Time until a list that was asked for is read, in milliseconds. */
export const REFRESH_DELAY_MS = 5;
