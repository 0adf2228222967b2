/**
 * Share of the time until its deadline for which a call waits at most; the rest
 * is for its caller's retry at another entry.
 */
export const MAX_WAIT_SHARE = 0.5;

/** Most calls of one service that wait at an entry. */
export const MAX_WAITING = 256;

/** Weight of the newest call in the mean service time. */
export const SERVICE_TIME_WEIGHT = 0.05;

/** Shortest Retry-After before the random part, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 100;

/** Longest Retry-After of a call that found no connection, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 10_000;

/** Weight of the newest turn in the mean time between two turns. */
export const TURN_WEIGHT = 0.1;

/** Most by which a Retry-After is lengthened at random, as a share of it. */
export const RETRY_AFTER_JITTER = 0.25;
