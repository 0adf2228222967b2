/** Times that one write of a claim is tried while it is in doubt. */
export const MAX_WRITE_TRIES = 4;

/** Times that one request moves a booking to another agent. */
export const MAX_MOVES = 2;

/** Claims of this span share the names of their outcomes' groups. */
export const OUTCOME_BUCKET_MS = 60_000;
