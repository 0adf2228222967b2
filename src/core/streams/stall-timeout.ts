/** How long a stream may be silent before its target counts as lost. */

/** Shortest silence that counts as a loss, in milliseconds. */
const FLOOR_MS = 300;

/** Longest silence that is waited for, as a share of the pause allowed. */
const PAUSE_SHARE = 0.65;

/** Silence allowed, as a multiple of the widest gap seen. */
const ALLOWED_GAPS = 2.5;

/** Longest silence where a route names no pause, in milliseconds. */
const DEFAULT_PAUSE_MS = 1_500;

/**
 * The silence after which a stream moves on. Serves the load of targets that
 * fall silent in the middle of streams: leaving a slow target costs little,
 * staying with a dead one costs the answer's timeliness.
 *
 * @example
 * stallLimitMs({maxPauseMs: 700, widestGapMs: 60}); // 300
 */
export function stallTimeoutMs(options: {
  maxPauseMs?: number;
  /** Widest gap between events of the same target, lately. */
  widestGapMs: number;
}): number {
  const {maxPauseMs = DEFAULT_PAUSE_MS, widestGapMs} = options;
  const ceilingMs = Math.max(FLOOR_MS, maxPauseMs * PAUSE_SHARE);
  return Math.min(Math.max(FLOOR_MS, widestGapMs * ALLOWED_GAPS), ceilingMs);
}

/** Shortest silence that is looked into, in milliseconds. */
const SUSPECT_FLOOR_MS = 130;

/** Silence that is looked into, as a multiple of the widest gap seen. */
const SUSPECT_GAPS = 1.6;

/**
 * The silence after which a target is asked whether it is there at all.
 *
 * @example
 * suspectLimitMs({maxPauseMs: 700, widestGapMs: 60}); // 130
 */
export function probeDelayMs(options: {
  maxPauseMs?: number;
  widestGapMs: number;
}): number {
  const byGapsMs = options.widestGapMs * SUSPECT_GAPS;
  return Math.min(
    Math.max(SUSPECT_FLOOR_MS, byGapsMs),
    stallTimeoutMs(options),
  );
}
