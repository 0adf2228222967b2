/** Silence after which another entry's copy is given up, in milliseconds. */
export const REMOTE_OUTPUT_TIMEOUT_MS = 800;

/** An entry that sends a copy says something this often, in milliseconds. */
export const OUTPUT_KEEPALIVE_MS = 100;

/** Most tokens in one message between entries. */
export const MAX_TOKENS_PER_MESSAGE = 1_024;

/** How often a move off a leaving target is tried, in milliseconds. */
export const MIGRATION_RETRY_MS = 250;

/** A suspect waits this long for a target without fellow suspects, in ms. */
export const SUSPECT_SHARING_DELAY_MS = 1_000;

/** Share of a target's capacity below which it counts as idle. */
export const IDLE_SHARE = 0.5;

/** Wait before the quarantine is listed again, in milliseconds. */
export const QUARANTINE_RETRY_MS = 1_000;
