/**
 * Silence after which reading an output from another entry fails, in
 * milliseconds.
 */
export const REMOTE_OUTPUT_TIMEOUT_MS = 800;

/** Keepalive period while an output is sent to another entry, in ms. */
export const OUTPUT_KEEPALIVE_MS = 100;

/** Maximum number of tokens in one message between entries. */
export const MAX_TOKENS_PER_MESSAGE = 1_024;

/** Wait before a move off a draining target is retried, in milliseconds. */
export const MIGRATION_RETRY_MS = 250;

/**
 * Time for which a request involved in a crash waits for a target that runs
 * no other such request, in milliseconds.
 */
export const SUSPECT_SHARING_DELAY_MS = 1_000;

/** Share of its capacity below which a target counts as idle. */
export const IDLE_SHARE = 0.5;

/**
 * Wait after a failure before the quarantine is listed again or a record is
 * written again, in milliseconds.
 */
export const QUARANTINE_RETRY_MS = 1_000;
