/** Timeouts for a stream whose target sends no events. */

/** Shortest stall timeout, in milliseconds. */
const MIN_STALL_MS = 300;

/** Longest stall timeout, as a share of the longest allowed pause. */
const MAX_PAUSE_SHARE = 0.65;

/** Stall timeout as a multiple of the widest recent gap between events. */
const STALL_GAP_FACTOR = 2.5;

/** Longest pause between events if the route sets none, in milliseconds. */
const DEFAULT_MAX_PAUSE_MS = 1_500;

/**
 * Longest wait for a target that holds a request whose KV cache has no copy,
 * as a multiple of the longest allowed pause. To read the prompt again takes
 * longer than that pause, so a move could not keep it either.
 */
const REREAD_PAUSE_FACTOR = 2;

/** What is known of a stream whose target sends no events. */
export interface StallQuery {
  /** Longest pause between events that the route allows, in milliseconds. */
  readonly maxPauseMs?: number;
  /** Widest recent gap between events of the same target, in milliseconds. */
  readonly widestGapMs: number;
  /**
   * Whether the target has responded and still holds the request, so that it
   * is slow rather than lost; false by default.
   */
  readonly holdsRequest?: boolean;
  /** Whether another target may resume from a copy; true by default. */
  readonly hasCopy?: boolean;
}

/**
 * Returns the time without events after which a stream is moved to another
 * target, in milliseconds. A target that may be lost is given the least time.
 * One that responds and holds the request is only slow, as beside the prompt of
 * another request: it has most of the allowed pause, and more if the prompt
 * would have to be read again elsewhere.
 *
 * @example
 * stallTimeoutMs({maxPauseMs: 700, widestGapMs: 60}); // 300
 */
export function stallTimeoutMs(query: StallQuery): number {
  const {maxPauseMs = DEFAULT_MAX_PAUSE_MS, widestGapMs} = query;
  const {holdsRequest = false, hasCopy = true} = query;
  const ceilingMs = Math.max(MIN_STALL_MS, maxPauseMs * MAX_PAUSE_SHARE);
  if (holdsRequest)
    return hasCopy ? ceilingMs : maxPauseMs * REREAD_PAUSE_FACTOR;
  return Math.min(
    Math.max(MIN_STALL_MS, widestGapMs * STALL_GAP_FACTOR),
    ceilingMs,
  );
}

/** Shortest delay before a probe, in milliseconds. */
const MIN_PROBE_DELAY_MS = 130;

/** Delay before a probe as a multiple of the widest recent gap. */
const PROBE_GAP_FACTOR = 1.6;

/**
 * Returns the time without events after which a target is probed, that is,
 * asked whether it still responds.
 *
 * @example
 * probeDelayMs({maxPauseMs: 700, widestGapMs: 60}); // 130
 */
export function probeDelayMs(options: {
  /** Longest pause between events that the route allows. */
  maxPauseMs?: number;
  /** Widest recent gap between events of the same target. */
  widestGapMs: number;
}): number {
  const gapBasedMs = options.widestGapMs * PROBE_GAP_FACTOR;
  return Math.min(
    Math.max(MIN_PROBE_DELAY_MS, gapBasedMs),
    stallTimeoutMs(options),
  );
}
