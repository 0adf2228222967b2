/** Bounds of the wait for room. */

/**
 * Time before the latest start of a generation at which it goes to an engine's
 * own queue, in milliseconds: its way there and the choice of the engine.
 */
export const SEND_MARGIN_MS = 250;

/**
 * Most places by which the generations of one client account are put back
 * behind those of others of the same priority.
 */
export const MAX_WAITING = 512;

/** Largest share by which a time to return is drawn out, against herds. */
export const RETRY_SPREAD = 0.5;
