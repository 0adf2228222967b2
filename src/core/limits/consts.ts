/** Limits and intervals of the requests that a target takes. */

/** Window in which the requests to a target are counted, in milliseconds. */
export const LIMIT_WINDOW_MS = 4_000;
