/** Sizes, times and bounds of the soak. */

/** Zones over which targets are spread. */
export const ZONES = ['a', 'b', 'c'];

/** Callers that send one request after the other, for each entry. */
export const CALLERS_PER_ENTRY = 8;

/** Longest time for which callers wait, in milliseconds. */
export const CALL_DEADLINE_MS = 2_500;
export const STREAM_DEADLINE_MS = 7_000;

/** Time after which a caller ends a request that is long overdue. */
export const ABORT_MARGIN_MS = 3_000;

/** Pieces of each stream, and their pace in milliseconds. */
export const STREAM_EVENTS = 24;
export const STREAM_FIRST_MS = 120;
export const STREAM_GAP_MS = 60;

/** Time for a plain answer, in milliseconds. */
export const WORK_MS = 25;

/** Time after a fault for which its part is not taken as calm. */
export const FAULT_AFTERMATH_MS = 3_000;

/** Time from an accepted configuration until it is in force everywhere. */
export const CONFIG_APPLY_MS = 3_000;

/** Time for which a key may still be used after it was taken away. */
export const KEY_REVOCATION_MS = 5_000;

/** Time after which a leaving target gets no new work. */
export const DRAIN_NOTICE_MS = 3_000;

/** Time after which a registration of a dead target lapses. */
export const REGISTRATION_EXPIRY_MS = 1_500;

/** Time from SIGTERM until a process is killed. */
export const GRACE_PERIOD_MS = 8_000;

/** How late a final answer may be after its deadline. */
export const DEADLINE_TOLERANCE_MS = 500;

/** Time in which two runs of one stream may overlap. */
export const MAX_OVERLAP_MS = 500;

/** Time for a run to end after its caller went. */
export const CANCEL_TIMEOUT_MS = 1_000;

/** Retries that all entries together may make in a window. */
export const RETRY_RATIO = 0.8;
export const RETRY_WINDOW_MS = 10_000;
export const RETRY_SLACK = 150;

/** Last part of a run, without new faults. */
export const RECOVERY_MS = 7_000;

/** Share of requests that succeed once all faults are over. */
export const RECOVERED_SHARE = 0.9;
