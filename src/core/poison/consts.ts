/** Thresholds of losses, over all entries, that are shared in this folder. */

/** Number of lost targets from which a request counts as their cause. */
export const POISON_LOSSES = 3;

/** Number of lost targets from which a request is a suspect. */
export const SUSPECT_LOSSES = 2;
