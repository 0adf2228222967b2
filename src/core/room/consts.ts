/** Bounds of the wait for room. */

/**
 * Time before the latest start of a generation at which it goes to an engine's
 * own queue, in milliseconds: its way there and the choice of the engine.
 */
export const SEND_MARGIN_MS = 250;

/** Generations of one service that wait at an entry at most. */
export const MAX_WAITING = 512;

/** Engines that are asked for room at one look. */
export const MAX_ENGINES_PER_LOOK = 3;
