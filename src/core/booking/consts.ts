/** Times that one write of a claim is tried while it is in doubt. */
export const MAX_WRITE_ATTEMPTS = 4;

/** Times that one request moves a booking to another agent. */
export const MAX_MOVES = 2;

/** Claims of this span share the names of their outcomes' groups. */
export const OUTCOME_BUCKET_MS = 60_000;

/** Most changes of claims in one write. */
export const MAX_GROUP_CHANGES = 500;

/** Times that one group is appended where other entries' come first. */
export const MAX_APPEND_ATTEMPTS = 16;

/** Least time between two writes of an entry's claims, in milliseconds. */
export const CLAIM_WRITE_INTERVAL_MS = 100;

/** A key is recognised for this long after it was claimed. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Segments are deleted once they are this old. */
export const SEGMENT_RETENTION_MS = 2 * CLAIM_RETENTION_MS;

/** An entry that has not followed the log for this long reads it anew. */
export const LOG_RELOAD_MS = 60 * 60 * 1_000;

/** Claims that an entry holds; it takes no more. */
export const MAX_CLAIMS = 100_000;
