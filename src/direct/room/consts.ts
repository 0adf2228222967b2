/** Times of the wait for room at engines. */

/** Time between two looks for room while generations wait, in milliseconds. */
export const ROOM_LOOK_MS = 100;

/** Time that a stream waits for a reservation, in milliseconds. */
export const RESERVE_TIMEOUT_MS = 120;

/** Timeout of a release, for which nothing waits, in milliseconds. */
export const RELEASE_TIMEOUT_MS = 1_000;

/** Time in which an engine's late answer is still read, in milliseconds. */
export const LATE_GRANT_MS = 2_000;

/**
 * Time to the first event at an engine with other work, as a multiple of the
 * shortest one.
 */
export const SHARED_ENGINE_FACTOR = 1.5;

/** Weight of the newest generation in the mean size. */
export const SIZE_WEIGHT = 0.1;
