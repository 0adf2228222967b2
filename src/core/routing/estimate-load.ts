import {
  MAX_REPORTED_UTILISATION,
  SLOW_START_MS,
  SLOW_START_SHARE,
} from './consts.js';
import type {TargetView} from './types.js';

/**
 * Estimates the requests at a target now: this entry's own count, plus the
 * requests of other entries according to the delayed report.
 *
 * @example
 * estimateLoad(view) / view.capacity;
 */
export function estimateLoad(view: TargetView): number {
  const {running, waiting, ownInFlight, ownInReport = 0} = view;
  const maxReported = MAX_REPORTED_UTILISATION * Math.max(view.capacity, 1);
  const others = Math.max(0, running + waiting - ownInReport);
  return ownInFlight + Math.min(others, maxReported);
}

/**
 * Share of the target's capacity in use; above 1 if requests wait.
 *
 * @example
 * utilisationOf(view); // 0.75
 */
export function utilisationOf(view: TargetView): number {
  return estimateLoad(view) / Math.max(view.capacity, 1);
}

/**
 * Share of its capacity that a target may use during slow start, which grows
 * with the time since it became usable; 1 after the slow start.
 *
 * @example
 * slowStartShare({...view, usableForMs: 5_000}); // 0.5
 */
export function slowStartShare(view: TargetView): number {
  const {usableForMs = SLOW_START_MS} = view;
  const ramp = Math.max(0, usableForMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_SHARE, ramp));
}
