/** A link out of the subset is kept for this long once it was needed. */
export const LINK_PIN_MS = 60_000;

/** How often silence is looked for, in milliseconds. */
export const SILENCE_CHECK_MS = 50;

/** A check that comes this late shows that this process was paused. */
export const PAUSE_DETECTION_MS = 250;

/** How often the VM list is read, in milliseconds. */
export const VM_LIST_PERIOD_MS = 500;

/** Wait before another target is looked for, in milliseconds. */
export const NO_TARGET_RETRY_MS = 50;

/** Attempts on one answer before it is given up. */
export const MAX_ATTEMPTS_WITHOUT_PROGRESS = 12;

/** An answer without a reader is kept for this long, in milliseconds. */
export const OUTPUT_RETENTION_MS = 10_000;

/** How often copies are swept, in milliseconds. */
export const OUTPUT_SWEEP_PERIOD_MS = 1_000;

/** Most tokens that a caller reads in one part. */
export const MAX_TOKENS_PER_PART = 256;

/** A refusal for want of targets asks to come back after this. */
export const RETRY_AFTER_MS = 1_000;

/** Wait before the configuration is read again, in milliseconds. */
export const CONFIG_RETRY_MS = 500;

/** Cancels that a link keeps for an agent that is away. */
export const MAX_PENDING_CANCELS = 1_000;

/** Bounds of the wait before an agent is asked again, in milliseconds. */
export const KEY_QUERY_RETRY_MIN_MS = 100;
export const KEY_QUERY_RETRY_MAX_MS = 1_000;

/** An agent says what it knows this long before the deadline. */
export const KEY_QUERY_RESPONSE_MARGIN_MS = 50;

/** Wait before a write that is in doubt is tried again, in milliseconds. */
export const WRITE_RETRY_MS = 20;

/** `true` where the caller vouches that it has not used the key before. */
export const FIRST_USE_HEADER = 'idempotency-first-use';

/**
 * Without an answer of the platform, an entry serves by what its peers hold
 * only after it has heard them for this long, in milliseconds.
 */
export const INITIAL_PEER_WAIT_MS = 2_000;

/** How often an entry tells its subscribers what it holds. */
export const CONFIG_ANNOUNCE_PERIOD_MS = 1_000;

/** How often the watchers are elected anew, in milliseconds. */
export const ELECTION_PERIOD_MS = 500;

/** A peer that is silent for longer is passed over, in milliseconds. */
export const PEER_SILENCE_TIMEOUT_MS = 2_500;

/** A silent peer is tried again after this, in milliseconds. */
export const SILENT_PEER_RETRY_MS = 10_000;

/** News older than this is looked after by reading, in milliseconds. */
export const CONFIG_STALE_MS = 3_000;

/** Longest time between such reads, in milliseconds. */
export const MAX_CONFIG_READ_PERIOD_MS = 2_000;

/** How often an entry tells its agents how old its news is. */
export const AGENT_CONFIG_ANNOUNCE_PERIOD_MS = 5_000;

/** Entries tell one agent a new version spread over this, in milliseconds. */
export const AGENT_CONFIG_JITTER_MS = 300;
