/** Number of targets that the entry watches to measure the cost per target. */
export const WATCHED_TARGETS = 200;

/** Heartbeats per second and target while their cost is measured. */
export const HEARTBEATS_PER_SECOND = 10;

/** Number of streams and prompt size for the memory per stream. */
export const STREAMS = 300;
export const PROMPT_CHARACTERS = 2_000;

/** Number and pace of the streams for the cost per token. */
export const BUSY_STREAMS = 60;
export const BUSY_PACE_MS = 25;

/** Duration of each measurement, in milliseconds. */
export const WINDOW_MS = 3_000;

/** Duration of the idle measurement, in milliseconds. */
export const IDLE_MS = 5_000;

/** Factor by which the engine is slowed down while streams are kept open. */
export const SLOW_FACTOR = 20;

/** Number of short generations for the cost per generation. */
export const REQUESTS = 80;

/** Number of configuration changes and bookings for the cost of each. */
export const CHANGES = 40;
export const BOOKINGS = 60;

/** Required upper bounds of the control overhead per node. */
export const CONTROL_CORE_SHARE = 0.017;
export const CONTROL_MEMORY_KB = 64 * 1_024;
export const CONTROL_BYTES_PER_SECOND = 9_000;

export const US_PER_SECOND = 1_000_000;
export const MS_PER_SECOND = 1_000;
export const BYTES_PER_KB = 1_024;
