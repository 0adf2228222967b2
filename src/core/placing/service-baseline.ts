/** How a target compares with the others of its service. */
import type {Target} from '../targets/index.js';

/** What is usual among the targets of a service. */
export interface ServiceBaseline {
  /** Median time between events, in milliseconds; undefined if unknown. */
  readonly eventGapMs?: number;
  /** Mean share of failed answers. */
  readonly failureShare: number;
}

/**
 * What is usual among some targets.
 *
 * @example
 * const usual = describeUsual(targets);
 */
export function computeBaseline(targets: readonly Target[]): ServiceBaseline {
  const paces = targets.flatMap((target) => target.eventGapMs ?? []);
  paces.sort((a, b) => a - b);
  const failing = targets.reduce((sum, t) => sum + t.failureShare, 0);
  return {
    eventGapMs: paces[Math.floor(paces.length / 2)],
    failureShare: failing / Math.max(1, targets.length),
  };
}

/**
 * By how much a target is slower than usual: 0 if it is not, 0.3 if its
 * streams take 1.3 times as long.
 *
 * @example
 * slownessOf(target, usual); // 0.3
 */
export function relativeSlowness(
  target: Target,
  usual: ServiceBaseline,
): number {
  if (target.eventGapMs === undefined || usual.eventGapMs === undefined)
    return 0;
  return Math.max(0, target.eventGapMs / usual.eventGapMs - 1);
}

/**
 * By how much more of a target's answers fail than is usual.
 *
 * @example
 * excessFailuresOf(target, usual); // 0.4
 */
export function excessFailureShare(
  target: Target,
  usual: ServiceBaseline,
): number {
  return Math.max(0, target.failureShare - usual.failureShare);
}
