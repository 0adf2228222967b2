/** Shares, times and error rates of roll-outs. */

/** Part of the bound on the exposure that the first step uses. */
export const CANARY_PART = 0.6;

/** Part of the slack that is divided; the rest covers what nobody sees. */
export const SLACK_PART = 0.8;

/**
 * Age of an order, as an entry first knows it, above which the entry has no part
 * of the slack, in milliseconds.
 */
export const MAX_SLACK_AGE_MS = 3_000;

/** Time for which a process waits for rows of others, in milliseconds. */
export const MAX_UNINFORMED_MS = 2_000;

/** Share of the traffic in the step that loads some of the new targets. */
export const LOADED_SHARE = 0.25;

/** Share of the traffic in the step after the bound. */
export const HALF_SHARE = 0.5;

/** Parts of the time budget after which the steps follow. */
export const LOADED_FROM = 0.4;
export const HALF_FROM = 0.58;
export const FULL_FROM = 0.65;

/** Answers of the new version without which no step follows in time. */
export const MIN_STEP_ANSWERS = 40;

/** The same for the step that is still within the bound. */
export const MIN_LOADED_ANSWERS = 12;

/** Part of the time budget after which few answers suffice. */
export const FEW_ANSWERS_FROM = 0.62;

/** Part of the time budget, and time, for which each step lasts at least. */
export const MIN_STEP_PART = 0.06;
export const MAX_MIN_STEP_MS = 3_000;

/** Least new targets that are used in the steps within the bound. */
export const MIN_OPEN_TARGETS = 3;
export const MIN_LOADED_TARGETS = 2;

/** Part of the time budget after which the status no longer waits. */
export const COMPLETE_WITHOUT_WAIT_FROM = 0.92;

/** Time at the last step before the roll-out is completed, in milliseconds. */
export const MIN_FULL_MS = 1_200;

/**
 * Silence after which an entry no longer counts as live, as a part of the time
 * budget and in milliseconds.
 */
export const ENTRY_SILENCE_PART = 0.2;
export const MIN_ENTRY_SILENCE_MS = 2_500;
export const MAX_ENTRY_SILENCE_MS = 3_000;

/**
 * Time in which entries that are not heard read an order that turns another
 * back, in milliseconds.
 */
export const WAY_BACK_WAIT_MS = 4_000;

/** Rows that an entry writes within that time. */
export const ROWS_PER_SILENCE = 3;

/** Time after which the next entry in order writes a status, in ms. */
export const STATUS_TURN_MS = 800;

/** Age of the newest read of the evidence above which no step follows. */
export const MAX_EVIDENCE_AGE_MS = 3_000;

/**
 * Age of the newest read of the evidence from which a version that is not known
 * to be sound gets nothing, as a part of the time to roll back. The rest of that
 * time is for writing the evidence and for reading it.
 */
export const STALE_EVIDENCE_PART = 0.55;

/** Windows over which versions are compared, in milliseconds. */
export const WINDOWS_MS: readonly number[] = [3_000, 8_000];

/** Least time between two snapshots of the evidence, in milliseconds. */
export const SNAPSHOT_MS = 500;

/** Chance of an outcome by accident below which a version is bad. */
export const MAX_CHANCE = 1e-4;

/** The same for lost responses, which have many other causes. */
export const MAX_LOST_CHANCE = 1e-8;

/** Least bad answers after which a version may be bad. */
export const MIN_BAD = 5;
export const MIN_LOST = 12;

/** The same if the version has too few targets to leave one out. */
export const MIN_BAD_FEW_TARGETS = 12;

/** Share of the new targets, the worst ones, whose answers do not count. */
export const LEFT_OUT_SHARE = 0.2;
export const LEFT_OUT_LOST_SHARE = 1 / 3;

/**
 * Bad answers of a target from which it is left out, unless it is the worst one:
 * fewer are no sign that they are the target's.
 */
export const MIN_BAD_TO_LEAVE_OUT = 3;

/** Targets below which none is left out. */
export const MIN_TARGETS_TO_LEAVE_OUT = 3;

/** By how much a good version's share of bad answers may exceed the old's. */
export const SHARE_FACTOR = 1.5;
export const SHARE_MARGIN = 0.02;
export const SLOW_SHARE_MARGIN = 0.05;

/** Answers of the old version below which those since the order count. */
export const MIN_OLD_ANSWERS = 10;

/** How many times the old version's usual time is slow. */
export const SLOW_FACTOR = 2.5;

/** The same up to the head of a stream, which depends on cached prompts. */
export const SLOW_HEAD_FACTOR = 6;

/** Added to a time before it counts as slow, in milliseconds. */
export const SLOW_MARGIN_MS = 5;

/** Times of the old version that are kept for each route. */
export const KEPT_TIMES = 64;

/** Times without which none is compared. */
export const MIN_KEPT_TIMES = 5;

/** Quantile of the kept times that counts as usual. */
export const USUAL_QUANTILE = 0.75;

/** Routes and targets that are told apart; the rest is summed. */
export const MAX_ROUTES = 16;
export const MAX_TARGETS = 64;
export const OTHER = 'other';
