import {
  MAX_REPORTED_UTILISATION,
  SLOW_START_MS,
  SLOW_START_SHARE,
} from './consts.js';
import type {TargetView} from './types.js';

/**
 * Estimates the requests at a target now: those of this entry, which it
 * counts itself, and those of others as far as the lagged report shows them.
 *
 * @example
 * estimateLoad(view) / view.capacity;
 */
export function estimateLoad(view: TargetView): number {
  const {running, waiting, ownInFlight, ownInReport: ownAtReport = 0} = view;
  const believed = MAX_REPORTED_UTILISATION * Math.max(view.capacity, 1);
  const others = Math.max(0, running + waiting - ownAtReport);
  return ownInFlight + Math.min(others, believed);
}

/** Share of the target's capacity in use; more than 1 where some wait. */
export function utilisationOf(view: TargetView): number {
  return estimateLoad(view) / Math.max(view.capacity, 1);
}

/** Share of its capacity that a target may take since it came back. */
export function slowStartShare(view: TargetView): number {
  const {usableForMs = SLOW_START_MS} = view;
  const ramp = Math.max(0, usableForMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_SHARE, ramp));
}
