/** Interval at which connections are checked, in milliseconds. */
export const CHECK_INTERVAL_MS = 1_000;

/** Least time between two log lines about closed connections, in ms. */
export const LOG_INTERVAL_MS = 10_000;

/**
 * Descriptors that are neither for connections of clients nor for those to
 * targets: 200 that the platform keeps for files, and 48 for listeners, the
 * store and probes.
 */
export const RESERVED_DESCRIPTORS = 248;

/** Least of them, where a machine has few descriptors. */
export const MIN_RESERVED_DESCRIPTORS = 48;

/** Largest share of all descriptors that they take beyond that. */
export const MAX_RESERVED_SHARE = 0.25;

/** Share of the other descriptors for accepted connections. */
export const ACCEPTED_SHARE = 0.5;

/** Memory for which one accepted connection is allowed, in bytes. */
export const MEMORY_PER_CONNECTION_BYTES = 80 * 1024;

/** Share of the memory of a process for bytes that were sent ahead. */
export const AHEAD_MEMORY_SHARE = 0.05;

/**
 * Bytes that may be read ahead on one connection. Clients send the next request
 * after the response.
 */
export const CONNECTION_AHEAD_BYTES = 16 * 1024;

/** Age up to which a connection without a request is new, in milliseconds. */
export const NEW_CONNECTION_MS = 1_000;

/** Default of `ConnectionLimits.unreadTimeoutMs`, in milliseconds. */
export const DEFAULT_UNREAD_TIMEOUT_MS = 60_000;
