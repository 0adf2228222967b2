/** Bounds of the choice of an engine. */

/** Engines whose load is queried before a stream is placed. */
export const SHORTLIST_SIZE = 3;
