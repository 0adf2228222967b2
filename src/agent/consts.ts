/** A heartbeat follows this long after the last word to a busy entry. */
export const HEARTBEAT_BUSY_MS = 100;

/** Longest time between heartbeats to a busy entry that hears tokens. */
export const HEARTBEAT_BUSY_MAX_MS = 300;

/** A heartbeat follows this long after the last one to an idle entry. */
export const HEARTBEAT_IDLE_MS = 1_500;

/** How often the target is probed, in milliseconds. */
export const PROBE_PERIOD_MS = 250;

/** A probe without an answer in this time has failed, in milliseconds. */
export const PROBE_TIMEOUT_MS = 250;

/** Failed probes in a row after which the target counts as unresponsive. */
export const PROBE_FAILURE_THRESHOLD = 2;

/** An attempt that nobody reads is cancelled after this, in milliseconds. */
export const ORPHAN_GRACE_MS = 10_000;

/** A finished journal is kept for this long, in milliseconds. */
export const JOURNAL_RETENTION_MS = 60_000;

/** How often journals are swept, in milliseconds. */
export const SWEEP_PERIOD_MS = 1_000;

/** Most tokens in one message. */
export const TOKENS_PER_MESSAGE = 1_024;

/** Keys that an agent remembers; more are refused. */
export const MAX_KEYS = 200_000;

/** Longest time to find out whether an engine crashed, in milliseconds. */
export const CRASH_DETECTION_MS = 800;

/** Most time that a probe is given under load, in milliseconds. */
export const PROBE_TIMEOUT_MAX_MS = 800;

/** A probe that ends this late shows that this process was paused. */
export const PAUSE_DETECTION_MS = 150;

/** Outcomes that end within this time are recorded together. */
export const OUTCOME_GROUP_MS = 500;

/** Wait before a group that could not be written is tried again. */
export const OUTCOME_RETRY_MS = 500;

/** Largest group, in bytes of its bodies; the store takes a megabyte. */
export const OUTCOME_GROUP_BYTES = 512 * 1024;

/** Bytes of bodies that wait to be recorded; more are dropped. */
export const OUTCOME_QUEUE_BYTES = 8 * 1024 * 1024;

/** What an outcome counts for beside its body, in bytes. */
export const OUTCOME_OVERHEAD_BYTES = 512;

/** A leaving agent waits for its outcomes no longer than this. */
export const OUTCOME_DRAIN_MS = 5_000;
