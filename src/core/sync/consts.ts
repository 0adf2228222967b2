/** First pause after a failed call, in milliseconds. */
export const FIRST_BACKOFF_MS = 60;

/** Longest pause after failed calls, in milliseconds. */
export const LAST_BACKOFF_MS = 700;
