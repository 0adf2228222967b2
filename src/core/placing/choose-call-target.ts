/** Chooses the target of a plain call. */
import type {RandomSource} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {ServiceBaseline} from './service-baseline.js';
import {computeBaseline, excessFailureShare} from './service-baseline.js';

/** Cost of a target in another data centre, in requests. */
const REMOTE_DATA_CENTRE_COST = 0.5;

/** Upper bound of the random cost that breaks ties, in requests. */
const JITTER = 0.4;

/** Cost of a failure share 1 above the mean of the service, in requests. */
const FAILURE_COST = 20;

/** Cost of a target that has just rejected a request, in requests. */
const FULL_COST = 50;

/** Cost of a target that does not respond, in requests. */
const PAUSED_COST = 1_000;

/** Input of `chooseCallTarget`. */
export interface CallTargetQuery {
  readonly targets: readonly Target[];
  /** Data centre of this entry. */
  readonly dataCentre: string;
  /** Ids of targets that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  readonly random: RandomSource;
}

/**
 * Chooses the target with the lowest cost: the expected time of the call there,
 * in requests, plus the costs above. Meant for many short calls to few targets,
 * from entries that do not coordinate with each other. Returns undefined if all
 * are excluded.
 *
 * @example
 * const target = chooseCallTarget({targets, dataCentre, excluded, random});
 */
export function chooseCallTarget(query: CallTargetQuery): Target | undefined {
  const baseline = computeBaseline(query.targets);
  let best: Target | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of query.targets) {
    if (query.excluded.has(target.id)) continue;
    const cost = costOf(target, query, baseline);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

function costOf(
  target: Target,
  query: CallTargetQuery,
  baseline: ServiceBaseline,
): number {
  const {dataCentre} = target.record;
  let cost = expectedTime(target) + query.random.float() * JITTER;
  if (dataCentre !== query.dataCentre) cost += REMOTE_DATA_CENTRE_COST;
  cost += excessFailureShare(target, baseline) * FAILURE_COST;
  if (target.isFull()) cost += FULL_COST;
  if (target.isPaused()) cost += PAUSED_COST;
  return cost;
}

/**
 * Expected time of a further call beyond that of a call alone at a target of the
 * usual speed, in requests. Waiting requests count twice.
 */
function expectedTime(target: Target): number {
  const {slots, slowness} = target;
  const requests = target.expectedRequests() + 1;
  const waiting = Math.max(0, requests - slots);
  return (requests + waiting) * slowness - 1;
}
