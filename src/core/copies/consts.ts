/** Events after which a KV cache copy of a generation exists. */
export const MIN_EVENTS_FOR_COPY = 2;

/**
 * Time after which the first parts of the KV cache have reached the target that
 * keeps the copy, also before the first event, in milliseconds.
 */
export const COPY_LAG_MS = 400;
