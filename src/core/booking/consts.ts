/** Maximum attempts of a claim write that is in doubt. */
export const MAX_WRITE_ATTEMPTS = 4;

/** Maximum number of times a request moves its booking to another agent. */
export const MAX_MOVES = 2;

/** Outcomes of claims made within one such interval share a name prefix. */
export const OUTCOME_BUCKET_MS = 60_000;

/** Maximum claim changes in one write. */
export const MAX_GROUP_CHANGES = 500;

/** Maximum attempts to append a group when other entries append first. */
export const MAX_APPEND_ATTEMPTS = 16;

/** Minimum interval between two claim writes of an entry, in milliseconds. */
export const CLAIM_WRITE_INTERVAL_MS = 100;

/** Time for which a claimed key is recognised, in milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Age at which segments of the claim log are deleted, in milliseconds. */
export const SEGMENT_RETENTION_MS = 2 * CLAIM_RETENTION_MS;

/** Age of its last sync after which an entry reloads the log, in ms. */
export const LOG_RELOAD_MS = 60 * 60 * 1_000;

/** Maximum claims in the memory of an entry; at the limit, writes fail. */
export const MAX_CLAIMS = 100_000;
