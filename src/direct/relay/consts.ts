/** Time limits of relayed changes. */

/** Interval at which a reader shows that it is alive, in milliseconds. */
export const ALIVE_INTERVAL_MS = 400;

/** Silence after which a reader counts as lost, in milliseconds. */
export const MAX_SILENCE_MS = 1_000;

/** Time to connect to a reader, in milliseconds. */
export const CONNECT_LIMIT_MS = 400;

/**
 * Time after which an entry tries again to listen on its port for other
 * entries, in milliseconds.
 */
export const LISTEN_RETRY_MS = 100;

/** Attempts to listen of which one is logged. */
export const LISTEN_ATTEMPTS_PER_LOG_LINE = 10;

/** Added to the wait of a watch to get its time limit, in milliseconds. */
export const WATCH_MARGIN_MS = 500;

/**
 * Longest random delay before an entry that lost its reader reads the store, as
 * many entries lose the same reader at once, in milliseconds.
 */
export const MAX_FALLBACK_DELAY_MS = 150;

/**
 * Longest random delay before a wait that the store has cut off is repeated, in
 * milliseconds.
 */
export const MAX_REPEAT_DELAY_MS = 60;

/** Most watches of one connection that wait at a reader. */
export const MAX_WAITING_WATCHES = 16;

/** Least time after the start until the entries are listed, in milliseconds. */
export const FIRST_LIST_DELAY_MS = 500;

/**
 * Longest time for which waits for changes are held back after the start, until
 * the entries are known, in milliseconds.
 */
export const MAX_UNKNOWN_MS = 1_500;

/**
 * Entries that may fail to answer, one after the other, before the store is read
 * for a kind whose age has no bound.
 */
export const MAX_ASKS = 3;

/**
 * Time within which an entry that is asked begins to read the kind, in
 * milliseconds. Its reads may be held back by an outage that it knows of.
 */
export const READ_BEGIN_LIMIT_MS = 250;

/** Time for which an entry that was asked reads the store, in milliseconds. */
export const DEMAND_MS = 2_000;

/** Longest long poll for changes of the entries, in milliseconds. */
export const ENTRIES_LONG_POLL_MS = 30_000;

/** Pause after changes of the entries, in milliseconds. */
export const ENTRIES_PAUSE_MS = 1_000;

/**
 * Longest random delay before an entry that had left and that a restored store
 * brings back is removed again, in milliseconds.
 */
export const MAX_REMOVE_AGAIN_DELAY_MS = 2_000;

/** Time until a failed registration is tried again, in milliseconds. */
export const REGISTRATION_RETRY_MS = 2_000;

/** Largest message that asks an entry for changes or a permit, in bytes. */
export const MAX_QUESTION_BYTES = 64 * 1024;
