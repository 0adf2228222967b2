/** When a refused caller may come back, in milliseconds. */
export const RETURN_AFTER_MS = 150;

/** Share of the time left after which a silent safe call is repeated. */
export const SAFE_TRY_SHARE = 0.45;

/** Pause before a stream looks for a target again, in milliseconds. */
export const STREAM_PAUSE_MS = 60;

/** Targets that may break one stream before it is given up. */
export const MAX_STREAM_TRIES = 12;

/** Longest wait for a change of the configuration, in milliseconds. */
export const CONFIG_WAIT_MS = 2_000;

/** Longest such wait, as a share of the time for which keys are trusted. */
export const WAIT_SHARE = 0.4;

/** Longest wait for a change of the targets, in milliseconds. */
export const TARGETS_WAIT_MS = 2_400;

/**
 * Least time between two reads of changed targets, as a share of the time
 * after which a leaving target must get no new work.
 */
export const TARGETS_PACE_SHARE = 0.4;

/** Part of the shared retry budget that entries plan with. */
export const RETRY_SHARE = 0.9;

/** Repeats after losses that an entry always allows in a window. */
export const LOSSES_FLOOR = 24;

/** How many of them may be for requests that no target has written for. */
export const UNWRITTEN_FLOOR = 12;

/** Repeats after rejections that an entry always allows in a window. */
export const REJECTION_FLOOR = 4;

/** Entries among which the repeats beyond the ratio are divided. */
export const PLANNED_ENTRIES = 24;

/** Time for a target to say that it is there, in milliseconds. */
export const PROBE_TIMEOUT_MS = 120;

/** Time for which the outcome of a probe is used again, in milliseconds. */
export const PROBE_FRESH_MS = 150;

/** Time between two looks at all targets of a data centre. */
export const SWEEP_PAUSE_MS = 400;

/** Events after which a run may have copied its memory. */
export const EVENTS_BEFORE_COPY = 2;

/** Time for which a data centre that lost a target is avoided. */
export const DOUBT_MS = 2_000;

/** Share of a stop's grace that must be left for a new stream. */
export const STREAM_GRACE_SHARE = 0.9;

/** Share of a stop's grace that must be left for a new call. */
export const CALL_GRACE_SHARE = 0.2;

/** Age up to which a report serves a placement, in milliseconds. */
export const REPORT_REUSE_MS = 120;

/** Engines that are asked for their load before a generation is placed. */
export const SHORTLIST = 3;

/** Work that a leaving target still ends by itself, in milliseconds. */
export const LEAVING_WORK_MS = 800;

/** Time for a run that goes on from a copy to write, in milliseconds. */
export const COPY_ANSWER_MS = 350;

/** Time between two looks at a target that reads a prompt. */
export const READING_CHECK_MS = 400;

/** Time after which the cause of a loss is known, in milliseconds. */
export const DIAGNOSIS_MS = 250;

/** Time in which another entry finds out the cause of a loss of its own. */
export const OTHERS_DIAGNOSIS_MS = 350;

/** What was on its way before a loss has come by then, in milliseconds. */
export const SEEN_AFTER_MS = 50;

/** Time after which the store knows of a life that ended, in milliseconds. */
export const LIFE_CHECK_MS = 6_000;

/** Least time between two writes of this entry's losses. */
export const LOSS_WRITE_PACE_MS = 100;

/** Least time between two reads of the other entries' losses. */
export const LOSS_READ_PACE_MS = 40;

/** Longest wait until the store has this entry's losses, in milliseconds. */
export const FLUSH_LIMIT_MS = 200;

/** Time in which the losses of other entries are heard, in milliseconds. */
export const HEARING_MS = 60;

/** Time after its start in which an entry waits for the losses of others. */
export const LOSSES_GRACE_MS = 1_500;

/** Time for which a request that crashes engines is kept from them. */
export const QUARANTINE_MS = 600_000;

/** Longest wait for news of such requests, in milliseconds. */
export const QUARANTINE_WAIT_MS = 30_000;

/** Time until such a request is written to the store again. */
export const SHARE_PAUSE_MS = 500;

/** Time between two tries to have a run copied, in milliseconds. */
export const COPY_PAUSE_MS = 400;

/** Age at which a copy that was asked for is brought up to date. */
export const COPY_REFRESH_MS = 2_000;

/** Part of the retry budget for requests that a target had no room for. */
export const REJECTED_RATIO = 0.5;
