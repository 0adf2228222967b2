/** Events after which a KV cache copy of a generation exists. */
export const MIN_EVENTS_FOR_COPY = 2;

/**
 * Time after the first event in which the KV cache of the prompt reaches the
 * target that keeps the copy, in milliseconds.
 */
export const COPY_LAG_MS = 400;
