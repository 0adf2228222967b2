/** When a refused caller may come back, in milliseconds. */
export const RETRY_AFTER_MS = 150;

/** Share of the time left after which a silent safe call is repeated. */
export const SAFE_ATTEMPT_TIME_SHARE = 0.45;

/** Pause before a stream looks for a target again, in milliseconds. */
export const PLACEMENT_RETRY_MS = 60;

/** Targets that may break one stream before it is given up. */
export const MAX_PROMPT_ATTEMPTS = 12;

/** Longest wait for a change of the configuration, in milliseconds. */
export const CONFIG_LONG_POLL_MS = 2_000;

/** Longest such wait, as a share of the time for which keys are trusted. */
export const CONFIG_LONG_POLL_SHARE = 0.4;

/** Longest wait for a change of the targets, in milliseconds. */
export const TARGETS_LONG_POLL_MS = 2_400;

/**
 * Least time between two reads of changed targets, as a share of the time
 * after which a leaving target must get no new work.
 */
export const TARGETS_READ_INTERVAL_SHARE = 0.4;

/** Part of the shared retry budget that entries plan with. */
export const LOSS_BUDGET_SHARE = 0.9;

/** Repeats after losses that an entry always allows in a window. */
export const MIN_LOSS_RETRIES = 24;

/** How many of them may be for requests that no target has written for. */
export const MIN_NO_OUTPUT_RETRIES = 12;

/** Repeats after rejections that an entry always allows in a window. */
export const MIN_REJECTION_RETRIES = 4;

/** Entries among which the repeats beyond the ratio are divided. */
export const ASSUMED_ENTRY_COUNT = 24;

/** Time for a target to say that it is there, in milliseconds. */
export const PROBE_TIMEOUT_MS = 120;

/** Time for which the outcome of a probe is used again, in milliseconds. */
export const PROBE_CACHE_MS = 150;

/** Time between two looks at all targets of a data centre. */
export const DATA_CENTRE_PROBE_INTERVAL_MS = 400;

/** Events after which a run may have copied its memory. */
export const MIN_EVENTS_FOR_COPY = 2;

/** Time for which a data centre that lost a target is avoided. */
export const AVOID_DATA_CENTRE_MS = 2_000;

/** Share of a stop's grace that must be left for a new stream. */
export const MIN_STREAM_GRACE_SHARE = 0.9;

/** Share of a stop's grace that must be left for a new call. */
export const MIN_CALL_GRACE_SHARE = 0.2;

/** Age up to which a report serves a placement, in milliseconds. */
export const MAX_REPORT_AGE_MS = 120;

/** Engines that are asked for their load before a generation is placed. */
export const SHORTLIST_SIZE = 3;

/** Work that a leaving target still ends by itself, in milliseconds. */
export const DRAINING_RESUME_WINDOW_MS = 800;

/** Time for a run that goes on from a copy to write, in milliseconds. */
export const RESUME_CHECK_MS = 350;

/** Time between two looks at a target that reads a prompt. */
export const PREFILL_CHECK_MS = 400;

/** Time after which the cause of a loss is known, in milliseconds. */
export const LOSS_DIAGNOSIS_MS = 250;

/** Time in which another entry finds out the cause of a loss of its own. */
export const REMOTE_DIAGNOSIS_MS = 350;

/** What was on its way before a loss has come by then, in milliseconds. */
export const IN_FLIGHT_DATA_MS = 50;

/** Time after which the store knows of a life that ended, in milliseconds. */
export const INCARNATION_CHECK_MS = 6_000;

/** Least time between two writes of this entry's losses. */
export const LOSS_WRITE_INTERVAL_MS = 100;

/** Least time between two reads of the other entries' losses. */
export const LOSS_READ_INTERVAL_MS = 40;

/** Longest wait until the store has this entry's losses, in milliseconds. */
export const FLUSH_TIMEOUT_MS = 200;

/** Time in which the losses of other entries are heard, in milliseconds. */
export const REMOTE_LOSSES_WAIT_MS = 60;

/** Time after its start in which an entry waits for the losses of others. */
export const STARTUP_LOSSES_WAIT_MS = 1_500;

/** Time for which a request that crashes engines is kept from them. */
export const QUARANTINE_MS = 600_000;

/** Longest wait for news of such requests, in milliseconds. */
export const POISON_LONG_POLL_MS = 30_000;

/** Time until such a request is written to the store again. */
export const STORE_WRITE_RETRY_MS = 500;

/** Time between two tries to have a run copied, in milliseconds. */
export const COPY_RETRY_MS = 400;

/** Age at which a copy that was asked for is brought up to date. */
export const COPY_REFRESH_MS = 2_000;

/** Part of the retry budget for requests that a target had no room for. */
export const REJECTION_BUDGET_SHARE = 0.5;
