/** Estimates the room for plain calls at the targets of a service. */
import type {Target} from '../targets/index.js';
import {MAX_REPORT_AGE_MS} from '../targets/index.js';
import type {Room} from './types.js';

/**
 * Estimates the room from what the targets report. A target that does not
 * respond counts for nothing. Undefined if no target is left or one does not
 * tell its slowness: such targets decide themselves what they take. The same holds
 * once nothing was heard from any of them for `MAX_REPORT_AGE_MS`.
 *
 * @example
 * estimateRoom({targets, serviceMs: 35})?.hasFreeSlot;
 */
export function estimateRoom(options: {
  targets: readonly Target[];
  /** Mean service time at a target of the usual speed, in milliseconds. */
  serviceMs: number;
}): Room | undefined {
  const targets = options.targets.filter((target) => !target.isPaused());
  if (targets.length === 0) return undefined;
  if (!targets.every((target) => target.tellsSlowness)) return undefined;
  if (targets.every((target) => target.reportAgeMs() > MAX_REPORT_AGE_MS))
    return undefined;
  const queues = targets.map((target) => estimateQueue(target, options));
  const best = queues.reduce((a, b) => (endOf(b) < endOf(a) ? b : a));
  const perMs = queues.reduce((sum, queue) => sum + queue.perMs, 0);
  return {
    hasFreeSlot: queues.some(({waitMs}) => waitMs === 0),
    waitMs: best.waitMs,
    serviceMs: best.serviceMs,
    intervalMs: 1 / perMs,
    isFull: targets.every((target) => target.isFull()),
  };
}

interface TargetQueue {
  readonly waitMs: number;
  readonly serviceMs: number;
  /** Calls that end a millisecond if all slots are in use. */
  readonly perMs: number;
}

function estimateQueue(
  target: Target,
  options: {serviceMs: number},
): TargetQueue {
  const {slots, slowness} = target;
  const serviceMs = options.serviceMs * slowness;
  const ahead = Math.max(0, target.expectedRequests() + 1 - slots);
  const perMs = slots / serviceMs;
  return {waitMs: ahead / perMs, serviceMs, perMs};
}

function endOf({waitMs, serviceMs}: TargetQueue): number {
  return waitMs + serviceMs;
}
