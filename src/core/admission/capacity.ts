/** One entry's share of the capacity of a service's targets. */
import type {TargetView} from '../routing/types.js';
import {estimateLoad} from '../routing/estimate-load.js';
import {DEFAULT_CAPACITY} from './consts.js';

/** Input of `computeSlots`. */
export interface CapacityQuery {
  /** Views of the service's targets. */
  readonly views: readonly TargetView[];
  /** Number of entries that send work to these targets; at least 1. */
  readonly entryCount: number;
}

/**
 * Computes how many requests this entry may have in flight at the targets:
 * its fair share of the capacity, or its own requests plus a share of the
 * idle capacity where that is more. While the targets have no idle capacity,
 * it is the fair share alone.
 *
 * @example
 * computeSlots({views, entryCount: 2});
 */
export function computeSlots(query: CapacityQuery): number {
  const {entryCount} = query;
  const views = query.views.filter((view) => view.usable);
  if (views.length === 0) return 0;
  const total = sum(views, capacityOf);
  const ownInFlight = sum(views, (view) => view.ownInFlight);
  const used = sum(views, estimateLoad);
  const fairShare = total / entryCount;
  const idle = Math.max(0, total - used);
  const withIdleShare = idle > 0 ? ownInFlight + idle / entryCount : 0;
  const slots = Math.min(total, Math.max(fairShare, withIdleShare));
  return Math.max(1, Math.floor(slots));
}

/**
 * Splits a client account's limit between the live entries, rounded up so
 * that every entry admits at least one request.
 *
 * @example
 * splitLimit({limit: 64, liveEntries: 3}); // 22
 */
export function splitLimit(options: {
  limit: number;
  liveEntries: number;
}): number {
  const {limit, liveEntries} = options;
  return Math.ceil(limit / Math.max(1, liveEntries));
}

function capacityOf(view: TargetView): number {
  return view.capacity > 0 ? view.capacity : DEFAULT_CAPACITY;
}

function sum(
  views: readonly TargetView[],
  value: (view: TargetView) => number,
): number {
  return views.reduce((total, view) => total + value(view), 0);
}
