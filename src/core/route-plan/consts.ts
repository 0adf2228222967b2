/** Bounds of the question for a plan. */

/** Most prompt parts of a question. */
export const MAX_PROMPT_PARTS = 256;
