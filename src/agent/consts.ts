/**
 * Longest time without a message to a busy entry, in milliseconds. An entry is
 * busy while it reads an attempt or waits for a call of this agent.
 */
export const HEARTBEAT_BUSY_MS = 100;

/**
 * Longest time between heartbeats to a busy entry that receives other messages,
 * in milliseconds.
 */
export const HEARTBEAT_BUSY_MAX_MS = 300;

/** Time between heartbeats to an idle entry, in milliseconds. */
export const HEARTBEAT_IDLE_MS = 1_500;

/** Period at which the target is probed, in milliseconds. */
export const PROBE_PERIOD_MS = 250;

/** Time after which a probe without a response fails, in milliseconds. */
export const PROBE_TIMEOUT_MS = 250;

/** Consecutive failed probes after which a target is unresponsive. */
export const PROBE_FAILURE_THRESHOLD = 2;

/** Time after which an attempt without a reader is cancelled, in ms. */
export const ORPHAN_GRACE_MS = 10_000;

/** Time for which an ended attempt is kept after its last reader, in ms. */
export const JOURNAL_RETENTION_MS = 60_000;

/** Period at which attempts without a reader are checked, in milliseconds. */
export const SWEEP_PERIOD_MS = 1_000;

/** Maximum number of tokens in one message. */
export const TOKENS_PER_MESSAGE = 1_024;

/** Maximum number of idempotency keys; calls with further ones are refused. */
export const MAX_KEYS = 200_000;

/** Longest wait for a probe after a stream was lost, in milliseconds. */
export const CRASH_DETECTION_MS = 800;

/** Longest timeout of a probe under load, in milliseconds. */
export const PROBE_TIMEOUT_MAX_MS = 800;

/**
 * If the timeout of a probe is later than this, this process counts as having
 * been paused, in milliseconds.
 */
export const PAUSE_DETECTION_MS = 150;

/** Time for which outcomes are collected into one group, in milliseconds. */
export const OUTCOME_GROUP_MS = 500;

/** Wait before a failed write of a group is retried, in milliseconds. */
export const OUTCOME_RETRY_MS = 500;

/**
 * Largest group of outcomes, in bytes of their bodies; the store accepts
 * objects of up to a megabyte.
 */
export const OUTCOME_GROUP_BYTES = 512 * 1024;

/** Maximum bytes of outcomes that wait to be recorded; more are dropped. */
export const OUTCOME_QUEUE_BYTES = 8 * 1024 * 1024;

/** Bytes that each outcome counts in addition to its body. */
export const OUTCOME_OVERHEAD_BYTES = 512;

/**
 * A draining agent stops waiting for its outcomes after this time without
 * progress, in milliseconds.
 */
export const OUTCOME_DRAIN_MS = 5_000;
