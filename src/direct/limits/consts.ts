/** Time limits of permits that another entry grants. */

/** Time within which an entry answers a question for a permit, in ms. */
export const PERMIT_TIMEOUT_MS = 100;

/**
 * Silence after which an entry no longer counts among those whose permits are
 * granted here, in milliseconds. Their watches are shorter.
 */
export const MEMBER_SILENCE_MS = 3_000;

/** Longest time until a permit that is told to others, in milliseconds. */
export const MAX_PERMIT_WAIT_MS = 30_000;

/** Longest time for which a refusal of a permit is remembered, in ms. */
export const MAX_REFUSAL_CACHE_MS = 1_000;

/** Refusals that are remembered. */
export const MAX_CACHED_REFUSALS = 1_024;
