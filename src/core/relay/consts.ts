/** Limits and intervals of relayed changes. */

/** Most objects whose last change is kept for each kind. */
export const MAX_LOGGED_CHANGES = 512;

/** Entries of a data centre from which they choose readers among themselves. */
export const MIN_GROUP_SIZE = 4;

/** Entries that one reader serves. */
export const ENTRIES_PER_READER = 32;

/** Shortest time for which a reader that failed is avoided, in milliseconds. */
export const MIN_AVOID_MS = 2_000;

/** Longest such time, in milliseconds. */
export const MAX_AVOID_MS = 60_000;

/**
 * Share of the widest link of a group from which an entry reads for others
 * before those with narrower links.
 */
export const WIDE_LINK_SHARE = 0.5;
