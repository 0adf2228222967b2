/** Events after which a KV cache copy of a generation exists. */
export const MIN_EVENTS_FOR_COPY = 2;

/**
 * Time after the first event in which the KV cache of the prompt reaches the
 * target that keeps the copy, in milliseconds.
 */
export const COPY_LAG_MS = 400;

/** Least time between two requests for a KV cache copy, in milliseconds. */
export const COPY_RETRY_MS = 400;

/** Age at which a requested KV cache copy is refreshed, in milliseconds. */
export const COPY_REFRESH_MS = 2_000;

/**
 * Time between two searches for an engine with room for a copy, in milliseconds.
 * Each costs a report of one engine for each data centre.
 */
export const COPY_SEARCH_INTERVAL_MS = 1_000;
