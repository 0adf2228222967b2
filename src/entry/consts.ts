/** Silence after which an idle agent is suspected, in milliseconds. */
export const SUSPECT_IDLE_MS = 2_500;

/** How often silence is looked for, in milliseconds. */
export const SILENCE_CHECK_MS = 50;

/** A check that comes this late shows that this process was paused. */
export const PAUSE_EVIDENCE_MS = 250;

/** How often the VM list is read, in milliseconds. */
export const VM_LIST_PERIOD_MS = 500;

/** Wait before another target is looked for, in milliseconds. */
export const NO_TARGET_RETRY_MS = 50;

/** Attempts on one answer before it is given up. */
export const MAX_ATTEMPTS = 12;

/** An answer without a reader is kept for this long, in milliseconds. */
export const COPY_RETENTION_MS = 10_000;

/** How often copies are swept, in milliseconds. */
export const COPY_SWEEP_MS = 1_000;

/** Most tokens that a caller reads in one part. */
export const TOKENS_PER_PART = 256;

/** A refusal for want of targets asks to come back after this. */
export const RETRY_AFTER_MS = 1_000;

/** Calls to an agent get no answer after the deadline and this. */
export const CALL_GRACE_MS = 100;

/** Wait before the configuration is read again, in milliseconds. */
export const CONFIG_RETRY_MS = 500;

/** Entries open their doors only after a first look for this long. */
export const FIRST_LOOK_MS = 300;

/** Cancels that a link keeps for an agent that is away. */
export const MAX_PENDING_CANCELS = 1_000;

/** Bounds of the wait before an agent is asked again, in milliseconds. */
export const ASK_RETRY_MIN_MS = 100;
export const ASK_RETRY_MAX_MS = 1_000;

/** An agent says what it knows this long before the deadline. */
export const ASK_ANSWER_MS = 50;

/** Wait before a write that is in doubt is tried again, in milliseconds. */
export const WRITE_RETRY_MS = 20;

/** `true` where the caller vouches that it has not used the key before. */
export const FIRST_USE_HEADER = 'idempotency-first-use';
