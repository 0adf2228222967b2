/** Value of `Retry-After` for refused callers, in milliseconds. */
export const RETRY_AFTER_MS = 150;

/** Share of the remaining time after which an idempotent call is retried. */
export const SAFE_ATTEMPT_TIME_SHARE = 0.45;

/** Pause before the placement of a stream is retried, in milliseconds. */
export const PLACEMENT_RETRY_MS = 60;

/** Attempts that start from the prompt before a stream fails. */
export const MAX_PROMPT_ATTEMPTS = 12;

/** Longest long poll for configuration changes, in milliseconds. */
export const CONFIG_LONG_POLL_MS = 2_000;

/** Longest such poll, as a share of the bound on the revocation of keys. */
export const CONFIG_LONG_POLL_SHARE = 0.4;

/**
 * Pause after a changed configuration, as a share of the time within which the
 * next change must be applied.
 */
export const CONFIG_PAUSE_SHARE = 0.2;

/** Longest long poll for changes of the targets, in milliseconds. */
export const TARGETS_LONG_POLL_MS = 2_400;

/**
 * Pause after changes of the targets, as a share of the time after which a
 * draining target must get no new work.
 */
export const TARGETS_PAUSE_SHARE = 0.2;

/**
 * Time until registrations that a restored store shows of targets that had left
 * are listed again, in milliseconds.
 */
export const STALE_TARGETS_CHECK_MS = 4_000;

/** How often they are listed again after the store was restored. */
export const MAX_STALE_LISTS = 3;

/** Share of the configured retry ratio for retries after losses. */
export const LOSS_BUDGET_SHARE = 0.9;

/** Retries after losses that an entry always allows in a retry window. */
export const MIN_LOSS_RETRIES = 24;

/** How many of these may follow attempts without any output. */
export const MIN_NO_OUTPUT_RETRIES = 12;

/** Retries after rejections that an entry always allows in a retry window. */
export const MIN_REJECTION_RETRIES = 4;

/** Number of entries among which the slack of the retry budget is divided. */
export const ASSUMED_ENTRY_COUNT = 24;

/** Timeout of a probe, including the connection setup, in milliseconds. */
export const PROBE_TIMEOUT_MS = 120;

/** Time for which the result of a probe is reused, in milliseconds. */
export const PROBE_CACHE_MS = 150;

/** Least time between two probes of a whole data centre, in milliseconds. */
export const DATA_CENTRE_PROBE_INTERVAL_MS = 400;

/** Time to avoid a data centre after the loss of a target, in milliseconds. */
export const AVOID_DATA_CENTRE_MS = 2_000;

/** Share of the grace period that must remain to accept a stream. */
export const MIN_STREAM_GRACE_SHARE = 0.9;

/** Time for the load balancer to react, as a share of the grace period. */
export const BALANCER_NOTICE_SHARE = 0.33;

/**
 * Time before the end of the grace period at which calls that still run are
 * answered, in milliseconds.
 */
export const LAST_ANSWERS_MS = 450;

/** Age up to which a load report is used for placement, in milliseconds. */
export const MAX_REPORT_AGE_MS = 120;

/** Engines whose room for a copy is queried before a generation is placed. */
export const HOLDER_SHORTLIST_SIZE = 3;

/**
 * Time after the start of its drain in which a target still completes work that
 * it accepts, so that a stream whose KV cache copy it holds can be resumed
 * there, in milliseconds.
 */
export const DRAINING_RESUME_WINDOW_MS = 800;

/**
 * Time in which a target that resumes from a KV cache copy should send an
 * event, in milliseconds; after it, the target is probed.
 */
export const RESUME_CHECK_MS = 350;

/** Time in which a sent request arrives at its target, in milliseconds. */
export const REQUEST_ARRIVAL_MS = 200;

/** Time between two probes of a target during prefill, in milliseconds. */
export const PREFILL_CHECK_MS = 400;

/** Probes at that interval, after which a long prefill is probed less often. */
export const QUICK_PREFILL_CHECKS = 2;

/**
 * Time between two further probes during a prefill for which no caller waits
 * within a stream, in milliseconds.
 */
export const SLOW_PREFILL_CHECK_MS = 800;

/** Time in which this entry determines the cause of a loss, in milliseconds. */
export const LOSS_DIAGNOSIS_MS = 250;

/**
 * Time in which a target that was lost may still show that it runs, before a
 * request is quarantined for it, in milliseconds.
 */
export const LOSS_VERIFICATION_MS = 1_000;

/** Time in which other entries diagnose and share a loss, in milliseconds. */
export const REMOTE_DIAGNOSIS_MS = 350;

/**
 * Time after a loss in which data that the target sent before may still arrive,
 * in milliseconds.
 */
export const IN_FLIGHT_DATA_MS = 50;

/** Time until the store shows that an incarnation ended, in milliseconds. */
export const INCARNATION_CHECK_MS = 6_000;

/** Least time between two synchronizations of losses, in milliseconds. */
export const LOSS_SYNC_INTERVAL_MS = 100;

/**
 * Longest wait until this entry's losses are written and those of the others
 * are read, in milliseconds.
 */
export const FLUSH_TIMEOUT_MS = 300;

/** Time in which entries that served a request refute its alert, in ms. */
export const REFUTE_WAIT_MS = 150;

/**
 * Longest random delay of a refutation, so that one of many entries sends it,
 * in milliseconds.
 */
export const MAX_REFUTE_DELAY_MS = 60;

/** Time for which an alert is kept in the store, in milliseconds. */
export const ALERT_RETENTION_MS = 600_000;

/** Longest wait for recorded losses and orders after the start, in ms. */
export const STARTUP_WAIT_MS = 1_500;

/** Time for which a poison request is quarantined, in milliseconds. */
export const QUARANTINE_MS = 600_000;

/** Longest long poll for quarantined requests and alerts, in milliseconds. */
export const POISON_LONG_POLL_MS = 30_000;

/**
 * Longest random delay before an entry writes again what a restored store lacks,
 * if it had written it itself, in milliseconds.
 */
export const MAX_OWN_REPAIR_DELAY_MS = 200;

/** Longest such delay if another entry had written it, in milliseconds. */
export const MAX_REPAIR_DELAY_MS = 2_000;

/**
 * Longest random delay before an entry tells that a restored store has settled, in
 * milliseconds; the others then find it told.
 */
export const MAX_SETTLED_DELAY_MS = 1_000;

/** Time until a failed call to the store is retried, in milliseconds. */
export const STORE_RETRY_MS = 500;

/**
 * Age of an engine's last message up to which it is preferred to keep a copy, in
 * milliseconds.
 */
export const HOLDER_SEEN_MS = 1_500;

/**
 * Share of the configured retry ratio for retries of requests that a target
 * rejected for lack of capacity.
 */
export const REJECTION_BUDGET_SHARE = 0.5;

/** Interval at which waiting calls are decided on anew, in milliseconds. */
export const CALL_QUEUE_CHECK_MS = 20;
