/** Delay before a failed loop is started again, in milliseconds. */
export const MIN_RESTART_DELAY_MS = 50;

/** Longest delay before a failed loop is started again, in milliseconds. */
export const MAX_RESTART_DELAY_MS = 2_000;

/** Time without a failure after which the delay is short again, in ms. */
export const CALM_MS = 10_000;

/** Longest part of a stack that is logged, in characters. */
export const MAX_STACK_CHARS = 600;
