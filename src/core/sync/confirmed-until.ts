/** Tells until when a finished wait for changes shows the state. */
import {MAX_CHANGE_DELAY_MS} from './consts.js';

/** A wait for changes at the store that has ended. */
export interface FinishedWait {
  /** When the call started, on the monotonic clock. */
  readonly startedMs: number;
  /** How long it could wait, in milliseconds. */
  readonly waitMs: number;
  readonly endedMs: number;
  readonly hasChanges: boolean;
}

/**
 * Returns until when the state is known to be complete, on the monotonic clock.
 * The store may withhold changes at the end of an idle wait, so the wait shows
 * the state only until `MAX_CHANGE_DELAY_MS` before its end.
 *
 * @example
 * // 1_500
 * confirmedUntilMs({startedMs: 0, waitMs: 2_500, endedMs: 2_500, hasChanges: false});
 */
export function confirmedUntilMs(wait: FinishedWait): number {
  const {startedMs, waitMs, endedMs, hasChanges} = wait;
  const isQuiet = !hasChanges && endedMs - startedMs >= waitMs;
  const coveredMs = Math.max(0, waitMs - MAX_CHANGE_DELAY_MS);
  return isQuiet ? startedMs + coveredMs : startedMs;
}
