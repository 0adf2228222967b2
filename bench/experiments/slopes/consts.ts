/** Targets that the entry watches for the slope per target. */
export const WATCHED_TARGETS = 200;

/** Heartbeats a second of each of them while their cost is measured. */
export const HEARTBEATS_PER_SECOND = 10;

/** Streams whose memory is measured, and the size of their prompts. */
export const STREAMS = 300;
export const PROMPT_CHARACTERS = 2_000;

/** Streams and pace of the slope per token. */
export const BUSY_STREAMS = 60;
export const BUSY_PACE_MS = 25;

/** Length of each measurement, in milliseconds. */
export const WINDOW_MS = 3_000;

/** Length of the measurement with nothing to do, in milliseconds. */
export const IDLE_MS = 5_000;

/** How much slower the engine is while streams are held open. */
export const SLOW_FACTOR = 20;

/** Short generations whose cost is measured. */
export const REQUESTS = 80;

/** Configuration changes and bookings that are measured. */
export const CHANGES = 40;
export const BOOKINGS = 60;

/** What control may cost a node, by the users' word. */
export const CONTROL_CORE_SHARE = 0.017;
export const CONTROL_MEMORY_KB = 64 * 1_024;
export const CONTROL_BYTES_PER_SECOND = 9_000;

export const US_PER_SECOND = 1_000_000;
export const MS_PER_SECOND = 1_000;
export const BYTES_PER_KB = 1_024;
