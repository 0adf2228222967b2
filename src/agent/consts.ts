/** Longest time without a message to a busy entry, in milliseconds. */
export const HEARTBEAT_BUSY_MS = 100;

/**
 * Longest time between heartbeats to a busy entry that receives other messages,
 * in milliseconds.
 */
export const HEARTBEAT_BUSY_MAX_MS = 300;

/** Time between heartbeats to an idle entry, in milliseconds. */
export const HEARTBEAT_IDLE_MS = 1_500;

/** How often the target is probed, in milliseconds. */
export const PROBE_PERIOD_MS = 250;

/** Time after which a probe without a response fails, in milliseconds. */
export const PROBE_TIMEOUT_MS = 250;

/** Consecutive failed probes after which a target is unresponsive. */
export const PROBE_FAILURE_THRESHOLD = 2;

/** An attempt without a reader is cancelled after this, in milliseconds. */
export const ORPHAN_GRACE_MS = 10_000;

/** A finished journal is kept for this long, in milliseconds. */
export const JOURNAL_RETENTION_MS = 60_000;

/** Period at which attempts without a reader are checked, in milliseconds. */
export const SWEEP_PERIOD_MS = 1_000;

/** Most tokens in one message. */
export const TOKENS_PER_MESSAGE = 1_024;

/** Most keys that an agent keeps; calls with further keys are refused. */
export const MAX_KEYS = 200_000;

/** Longest wait for a probe after a stream was lost, in milliseconds. */
export const CRASH_DETECTION_MS = 800;

/** Longest timeout of a probe under load, in milliseconds. */
export const PROBE_TIMEOUT_MAX_MS = 800;

/**
 * A probe timeout that fires this late shows that the process was paused, in
 * milliseconds.
 */
export const PAUSE_DETECTION_MS = 150;

/** Outcomes within this time are recorded together, in milliseconds. */
export const OUTCOME_GROUP_MS = 500;

/** Wait before a failed write of a group is retried, in milliseconds. */
export const OUTCOME_RETRY_MS = 500;

/**
 * Largest group of outcomes, in bytes of their bodies; the store accepts objects
 * of up to a megabyte.
 */
export const OUTCOME_GROUP_BYTES = 512 * 1024;

/** Most bytes of outcomes in the queue; further ones are dropped. */
export const OUTCOME_QUEUE_BYTES = 8 * 1024 * 1024;

/** Bytes that an outcome counts for in addition to its body. */
export const OUTCOME_OVERHEAD_BYTES = 512;

/**
 * A draining agent stops waiting for its outcomes after this time without
 * progress, in milliseconds.
 */
export const OUTCOME_DRAIN_MS = 5_000;
