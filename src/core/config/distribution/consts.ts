/** Entries of a data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;

/** Entries of other data centres whom an entry hears as well. */
export const REMOTE_PEERS = 1;
