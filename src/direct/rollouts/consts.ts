/** Intervals of roll-outs. */

/** Interval of judging and deciding while an order runs, in milliseconds. */
export const UPDATE_MS = 250;

/** Least time between two writes of news, in milliseconds. */
export const URGENT_WRITE_MS = 250;

/** Pause after others' evidence, in which more of it gathers. */
export const EVIDENCE_PAUSE_MS = 300;

/** Longest wait for others' evidence, in milliseconds. */
export const EVIDENCE_LONG_POLL_MS = 2_000;

/** The same as a part of the time to roll back, so that reads stay fresh. */
export const EVIDENCE_LONG_POLL_PART = 0.3;

/** Longest wait for orders, in milliseconds. */
export const ORDERS_LONG_POLL_MS = 5_000;

/** Time until the same status is written again, in milliseconds. */
export const STATUS_RETRY_MS = 1_500;

/** Time from the head of a stream after which its pace counts, in ms. */
export const PACE_SAMPLE_MS = 700;

/** Status of a response from which it is a failure of its target. */
export const FIRST_FAILURE_STATUS = 500;
