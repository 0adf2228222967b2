/** Thresholds of losses, over all entries, that are shared in this folder. */

/** Number of lost targets from which a request counts as their cause. */
export const POISON_LOSSES = 3;

/** Number of lost targets from which a request is a suspect. */
export const SUSPECT_LOSSES = 2;

/**
 * Number of lost targets from which a prompt part counts as their cause. One
 * request alone is quarantined before it has lost so many.
 */
export const POISON_PART_LOSSES = 4;

/** Number of different requests that must have lost these targets. */
export const MIN_PART_REQUESTS = 2;

/**
 * Time in which an entry settles or dismisses a loss, in milliseconds. A loss
 * that is read unsettled after it counts as settled, as the entry may be gone or
 * cut off from the store.
 */
export const SETTLING_MS = 600;

/**
 * Most long prompts of lost requests that are kept, of one entry; the oldest are
 * dropped first.
 */
export const MAX_PROMPTS = 8;
