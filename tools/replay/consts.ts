/** Sizes and timings of the replayed site. */

export const MS_PER_S = 1_000;

/** Data centre of each entry. */
export const ENTRY_ZONES = ['a', 'a', 'b', 'c'];

/** Data centres over which targets are spread. */
export const ZONES = ['a', 'b', 'c'];

/** Number of engines and of plain servers. */
export const ENGINES = 13;
export const PLAIN_SERVERS = 3;

/** Events of a stream, the time to the first and the gap between two. */
export const STREAM_PACE = {events: 130, firstMs: 1_050, gapMs: 31};

/** Processing time of a plain call, in milliseconds. */
export const WORK_MS = 86;

/** Limits of an entry. */
export const MEMORY_MB = 200;
export const MAX_DESCRIPTORS = 4_100;
export const CPU_QUOTA = 0.513;

/** Time from SIGTERM until an entry is killed. */
export const GRACE_PERIOD_MS = 8_000;

/** Time after the grace period that a stopping entry is given. */
export const KILL_MARGIN_MS = 500;

/** Time after which a start counts as failed. */
export const READY_TIMEOUT_MS = 20_000;

/** Largest request body that the configuration allows. */
export const MAX_BODY_BYTES = 4_194_304;

/** Body sizes of the streams and the plain calls, in bytes. */
export const STREAM_BODY_BYTES = 5_000;
export const ORDER_BODY_BYTES = 600;

/** Deadlines of the callers, in milliseconds. */
export const STREAM_DEADLINE_MS = 25_000;
export const CALL_DEADLINE_MS = 1_500;

/** Requests a second of all callers together. */
export const REQUESTS_PER_S = 69;

/** Final part of a run, without new disturbances. */
export const CALM_MS = 6_000;
