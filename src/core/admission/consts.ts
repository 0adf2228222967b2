/** Share of a service's slots that is reserved for resumed requests. */
export const RESUME_SHARE = 0.1;

/** Assumed slots of a target that has not reported its capacity. */
export const DEFAULT_CAPACITY = 8;

/** Time for which a slot is idle between two requests, in milliseconds. */
export const SLOT_TURNAROUND_MS = 20;

/** Time constant of the decaying average of a drain rate, in milliseconds. */
export const DRAIN_RATE_DECAY_MS = 1_000;

/**
 * Time without any slot after which waiting requests are refused, in
 * milliseconds.
 */
export const NO_SLOTS_GRACE_MS = 5_000;

/** Shortest Retry-After of a refusal before jitter, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 500;

/** Longest Retry-After of a refusal before jitter, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 30_000;

/** Random jitter of Retry-After, as a share of it in both directions. */
export const RETRY_AFTER_JITTER = 0.25;

/** Weight of the newest sample in an exponentially weighted mean. */
export const SAMPLE_WEIGHT = 0.1;

/**
 * Half-life of the shortest observed time, in milliseconds; the decay begins
 * after one half-life without a sample.
 */
export const SHORTEST_HALF_LIFE_MS = 10_000;

/** Number of mean deviations that a conservative estimate adds to the mean. */
export const CONSERVATIVE_DEVIATIONS = 2;

/**
 * Share of the difference between a longer sample and the shortest time by
 * which the sample raises the shortest time.
 */
export const SHORTEST_RISE = 0.05;
