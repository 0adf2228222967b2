/**
 * Shortest time for which a link to a target outside this entry's subset is
 * kept, in milliseconds.
 */
export const LINK_PIN_MS = 60_000;

/** Period of the check for silent agents, in milliseconds. */
export const SILENCE_CHECK_MS = 50;

/**
 * If a periodic check is later than this, this process counts as having been
 * paused, in milliseconds.
 */
export const PAUSE_DETECTION_MS = 250;

/** Period at which the VM list is read, in milliseconds. */
export const VM_LIST_PERIOD_MS = 500;

/** Wait before the next attempt to choose a target, in milliseconds. */
export const NO_TARGET_RETRY_MS = 50;

/** Consecutive attempts without a new token after which a generation fails. */
export const MAX_ATTEMPTS_WITHOUT_PROGRESS = 12;

/** Time for which an output without a reader is kept, in milliseconds. */
export const OUTPUT_RETENTION_MS = 10_000;

/** Period at which unread outputs are removed, in milliseconds. */
export const OUTPUT_SWEEP_PERIOD_MS = 1_000;

/** Maximum number of tokens that a reader returns in one part. */
export const MAX_TOKENS_PER_PART = 256;

/** Retry delay that refusals send to callers, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/**
 * Average wait before the configuration is read again after a failed read or a
 * closed watch, in milliseconds.
 */
export const CONFIG_RETRY_MS = 500;

/** Maximum number of cancellations kept for a disconnected agent. */
export const MAX_PENDING_CANCELS = 1_000;

/** Bounds of the wait before a key query is retried, in milliseconds. */
export const KEY_QUERY_RETRY_MIN_MS = 100;
export const KEY_QUERY_RETRY_MAX_MS = 1_000;

/** An agent responds to a key query this long before the deadline, in ms. */
export const KEY_QUERY_RESPONSE_MARGIN_MS = 50;

/** Wait before a claim write of unknown outcome is retried, in milliseconds. */
export const WRITE_RETRY_MS = 20;

/** Header: `true` if the caller states that it has not used the key before. */
export const FIRST_USE_HEADER = 'idempotency-first-use';

/**
 * If the platform does not respond, an entry waits this long after its start
 * before it activates a configuration received from peers, in milliseconds.
 */
export const INITIAL_PEER_WAIT_MS = 2_000;

/**
 * Period at which an entry announces its configuration version to the entries
 * that subscribe to it, in milliseconds.
 */
export const CONFIG_ANNOUNCE_PERIOD_MS = 1_000;

/**
 * Period at which the entries that watch the platform are elected, in
 * milliseconds.
 */
export const ELECTION_PERIOD_MS = 500;

/** Silence after which a peer is excluded from elections, in milliseconds. */
export const PEER_SILENCE_TIMEOUT_MS = 2_500;

/** Time for which a silent peer is excluded from elections, in milliseconds. */
export const SILENT_PEER_RETRY_MS = 10_000;

/**
 * Time since the platform last confirmed the configuration after which this
 * entry reads it from the platform itself, in milliseconds.
 */
export const CONFIG_STALE_MS = 3_000;

/** Longest time between two such reads, in milliseconds. */
export const MAX_CONFIG_READ_PERIOD_MS = 2_000;

/**
 * Period at which an entry sends its configuration version and its age to an
 * agent, in milliseconds.
 */
export const AGENT_CONFIG_ANNOUNCE_PERIOD_MS = 5_000;

/**
 * Longest random delay before an entry sends a new configuration to an agent,
 * in milliseconds. Once one entry has sent it, the others send only the
 * version.
 */
export const AGENT_CONFIG_JITTER_MS = 300;

/** Delay before a failed activation of a version is repeated, in ms. */
export const ACTIVATION_RETRY_MS = 1_000;

/** Detail of the refusal of a request that this entry failed to handle. */
export const ENTRY_FAILED_DETAIL =
  'this entry failed while it served the request';
