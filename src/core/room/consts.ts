/** Bounds of the wait for room. */

/**
 * Time before the latest start of a generation at which it goes to an engine's
 * own queue, in milliseconds: its way there and the choice of the engine.
 */
export const SEND_MARGIN_MS = 250;

/** Generations of one service that wait at an entry at most. */
export const MAX_WAITING = 512;

/**
 * Time over which the grants of room tell how fast a queue moves, in
 * milliseconds: longer than most generations run, as those that began together
 * end together.
 */
export const RATE_WINDOW_MS = 10_000;

/** Grants within that time without which nothing is foreseen. */
export const MIN_GRANTS = 8;

/**
 * Factor by which a queue may move faster than it has: room comes from the work
 * of other entries too, and a refusal can't be taken back.
 */
export const FASTER_FACTOR = 2;

/** Shortest Retry-After before the random part, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 300;

/** Least time between the returns of two refused callers, in milliseconds. */
export const MIN_SPACING_MS = 20;

/** Most by which a Retry-After is shortened at random, as a share of it. */
export const RETRY_AFTER_JITTER = 0.25;

/** Share of the time left up to which callers honour a Retry-After. */
export const HONOURED_SHARE = 1 / 3;

/** Engines that are asked for room at one look. */
export const MAX_ENGINES_PER_LOOK = 3;
