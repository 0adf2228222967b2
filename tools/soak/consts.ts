/** Sizes, timings and tolerances of the soak test. */

/** Zones over which targets are spread. */
export const ZONES = ['a', 'b', 'c'];

/** Number of callers per entry; each sends one request at a time. */
export const CALLERS_PER_ENTRY = 8;

/** Deadlines that callers send with calls and streams, in milliseconds. */
export const CALL_DEADLINE_MS = 2_500;
export const STREAM_DEADLINE_MS = 7_000;

/** Time after its deadline at which a caller aborts a request. */
export const ABORT_MARGIN_MS = 3_000;

/** Events per stream, the time to the first and the gap between two. */
export const STREAM_EVENTS = 24;
export const STREAM_FIRST_MS = 120;
export const STREAM_GAP_MS = 60;

/** Processing time of a plain call, in milliseconds. */
export const WORK_MS = 25;

/** Time after a fault for which its component still counts as faulty. */
export const FAULT_AFTERMATH_MS = 3_000;

/** Time within which all entries apply an accepted configuration. */
export const CONFIG_APPLY_MS = 3_000;

/** Time after its revocation for which a key may still be accepted. */
export const KEY_REVOCATION_MS = 5_000;

/** Time after which a target registered as draining gets no new work. */
export const DRAIN_NOTICE_MS = 3_000;

/** Time after which the registration of a dead target expires. */
export const REGISTRATION_EXPIRY_MS = 1_500;

/** Time from SIGTERM until a process is killed. */
export const GRACE_PERIOD_MS = 8_000;

/** Time after its deadline within which a response is not counted as late. */
export const DEADLINE_TOLERANCE_MS = 500;

/** Longest tolerated overlap of two runs of one stream. */
export const MAX_OVERLAP_MS = 500;

/** Time for a run to end after its caller disconnected. */
export const CANCEL_TIMEOUT_MS = 1_000;

/**
 * Retry budget of all entries together: in a window, `RETRY_RATIO` retries per
 * request and `RETRY_SLACK` more.
 */
export const RETRY_RATIO = 0.8;
export const RETRY_WINDOW_MS = 10_000;
export const RETRY_SLACK = 150;

/** Final part of a run, without new faults. */
export const RECOVERY_MS = 7_000;

/** Share of the requests after all faults that must succeed. */
export const RECOVERED_SHARE = 0.9;

/** Delay before a stopped entry is started again. */
export const RESTART_DELAY_MS = 400;

/** Time within which a started entry accepts callers. */
export const START_TIMEOUT_MS = 6_000;

/** Processor time, beyond that of Node.js, until a program handles signals. */
export const SIGNALS_CPU_MS = 100;

/** Resident memory over which the site kills a process. */
export const MEMORY_LIMIT_BYTES = 200 * 1_024 * 1_024;

/** Largest body that entries accept of callers that upload, in bytes. */
export const MAX_UPLOAD_BYTES = 4 * 1_024 * 1_024;

/** Time from the end of a crowd until its entry has answered a caller. */
export const CROWD_AFTERMATH_MS = 10_000;
