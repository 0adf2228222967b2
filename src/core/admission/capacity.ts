/** The share of the targets' capacity that falls to one entry. */
import type {TargetView} from '../routing/types.js';
import {estimateLoad} from '../routing/estimate-load.js';
import {DEFAULT_CAPACITY} from './consts.js';

/** What an entry knows of a service's targets. */
export interface CapacityQuery {
  /** Views of the service's targets. */
  readonly views: readonly TargetView[];
  /** Entries that send work to the same targets; at least 1. */
  readonly entryCount: number;
}

/**
 * Gives the requests that this entry may have at the targets: its fair part,
 * and its part of what the reports show to be idle beyond that. Where
 * requests wait at the targets it is the fair part alone.
 *
 * @example
 * resolveSlots({views, sharers: 2});
 */
export function computeSlots(query: CapacityQuery): number {
  const {entryCount: sharers} = query;
  const views = query.views.filter((view) => view.usable);
  if (views.length === 0) return 0;
  const total = sum(views, capacityOf);
  const own = sum(views, (view) => view.ownInFlight);
  const used = sum(views, estimateLoad);
  const fair = total / sharers;
  const idle = Math.max(0, total - used);
  const stretched = idle > 0 ? own + idle / sharers : 0;
  const slots = Math.min(total, Math.max(fair, stretched));
  return Math.max(1, Math.floor(slots));
}

/**
 * Splits a client account's limit over the live entries, rounded up so that
 * every entry lets something in.
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
