/** Limits and intervals of the requests that a target takes. */

/** Window in which the requests to a target are counted, in milliseconds. */
export const LIMIT_WINDOW_MS = 4_000;

/** Requests that may be sent at once after an idle time. */
export const MAX_BURST = 1;

/** Requests that may be sent beyond the limit, and are made up for later. */
export const MAX_DEBT = 5;

/** Least requests a second, by which entries learn that a limit has ended. */
export const MIN_PER_SECOND = 0.25;

/**
 * Entries among which a limit of 0 is divided. If more entries sent one request
 * each at once, they would exceed it.
 */
export const MIN_SHARERS = 3;

/** Entries among which a limit is divided, for each request a second. */
export const SHARERS_PER_REQUEST = 1.5;

/** Share of a limit for all entries that are not among the sharers. */
export const PROBE_SHARE = 0.1;

/** Entries among which a limit is divided while the entries are not known. */
export const ASSUMED_ENTRIES = 24;

/** Longest wait that is kept free for a refused request, in milliseconds. */
export const MAX_CLAIM_MS = 2_000;

/** Places that are kept for refused requests of one target. */
export const MAX_CLAIMS = 256;

/** Time after its retry time for which a place is kept, in milliseconds. */
export const CLAIM_GRACE_MS = 250;

/** Accounts whose last permit is remembered for each target. */
export const MAX_REMEMBERED_ACCOUNTS = 256;

/** Targets whose limits are kept. */
export const MAX_POOLS = 1_024;
