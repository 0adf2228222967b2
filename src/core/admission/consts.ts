/** Share of a service's slots that new work leaves free for resumes. */
export const RESUME_SHARE = 0.1;

/** Slots of a target whose capacity is not known. */
export const DEFAULT_CAPACITY = 8;

/** Time for which a slot stands idle between two requests, in milliseconds. */
export const SLOT_TURNAROUND_MS = 20;

/** Time over which the drain of a queue is remembered, in milliseconds. */
export const DRAIN_RATE_DECAY_MS = 1_000;

/** Time without any slot after which waiting work is refused. */
export const NO_SLOTS_GRACE_MS = 5_000;

/** Shortest time after which a refused caller is asked to come back. */
export const MIN_RETRY_AFTER_MS = 500;

/** Longest time after which a refused caller is asked to come back. */
export const MAX_RETRY_AFTER_MS = 30_000;

/** Retry-After is drawn from this share around its middle. */
export const RETRY_AFTER_JITTER = 0.25;

/** Weight of the newest sample in a running mean. */
export const SAMPLE_WEIGHT = 0.1;

/** Time without samples after which the shortest time halves, each time. */
export const SHORTEST_HALF_LIFE_MS = 10_000;

/** Deviations that a careful estimate adds to the mean. */
export const CONSERVATIVE_DEVIATIONS = 2;

/** Share of the way by which a longer sample raises the shortest time. */
export const SHORTEST_RISE = 0.05;
