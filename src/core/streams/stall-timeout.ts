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
 * Returns the time without events after which a stream is moved to another
 * target. Moving a stream from a slow target costs little, while staying with a
 * dead one delays the response beyond its allowed pause.
 *
 * @example
 * stallTimeoutMs({maxPauseMs: 700, widestGapMs: 60}); // 300
 */
export function stallTimeoutMs(options: {
  /** Longest pause between events that the route allows. */
  maxPauseMs?: number;
  /** Widest recent gap between events of the same target. */
  widestGapMs: number;
}): number {
  const {maxPauseMs = DEFAULT_MAX_PAUSE_MS, widestGapMs} = options;
  const ceilingMs = Math.max(MIN_STALL_MS, maxPauseMs * MAX_PAUSE_SHARE);
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
