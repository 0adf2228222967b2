/** Compares a target with the other targets of its service. */
import type {Target} from '../targets/index.js';

/** Typical speed and failure share of the targets of a service. */
export interface ServiceBaseline {
  /** Median time between events, in milliseconds; undefined if unknown. */
  readonly eventGapMs?: number;
  /** Mean of the targets' shares of failed responses. */
  readonly failureShare: number;
}

/**
 * Computes the baseline from the targets of a service.
 *
 * @example
 * const baseline = computeBaseline(targets);
 */
export function computeBaseline(targets: readonly Target[]): ServiceBaseline {
  const eventGaps = targets.flatMap((target) => target.eventGapMs ?? []);
  eventGaps.sort((a, b) => a - b);
  const failureShares = targets.reduce((sum, t) => sum + t.failureShare, 0);
  return {
    eventGapMs: eventGaps[Math.floor(eventGaps.length / 2)],
    failureShare: failureShares / Math.max(1, targets.length),
  };
}

/**
 * By how much a target is slower than the baseline: 0.3 if its streams take 1.3
 * times as long, 0 if it is not slower or its speed is unknown.
 *
 * @example
 * relativeSlowness(target, baseline); // 0.3
 */
export function relativeSlowness(
  target: Target,
  baseline: ServiceBaseline,
): number {
  if (target.eventGapMs === undefined || baseline.eventGapMs === undefined)
    return 0;
  return Math.max(0, target.eventGapMs / baseline.eventGapMs - 1);
}

/**
 * By how much the failure share of a target exceeds the baseline; 0 if it does
 * not.
 *
 * @example
 * excessFailureShare(target, baseline); // 0.4
 */
export function excessFailureShare(
  target: Target,
  baseline: ServiceBaseline,
): number {
  return Math.max(0, target.failureShare - baseline.failureShare);
}
