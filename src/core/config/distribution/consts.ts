/** Number of entries per data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Number of entries in other data centres from which an entry receives updates.
 */
export const REMOTE_PEERS = 1;
