/** Most bytes that the parser gets at once while it may find requests. */
export const SLICE_BYTES = 1024;

/**
 * Time after which a response of which no byte was read is stalled, in
 * milliseconds.
 */
export const STALL_MS = 5_000;

/** Descriptors of a process whose own limit is not known. */
export const DEFAULT_DESCRIPTORS = 1_024;
