/** Chooses the target of a plain call. */
import type {RandomSource} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {ServiceBaseline} from './service-baseline.js';
import {computeBaseline, excessFailureShare} from './service-baseline.js';

/** Load in requests that a target in another data centre must be lower by. */
const DISTANCE_COST = 0.5;

/** Spread of the random tie-breaker, in requests. */
const JITTER = 0.4;

/** Added where all answers fail that others give, in requests. */
const FAILING_COST = 20;

/** Added where a target had no room a moment ago, in requests. */
const FULL_COST = 50;

/** Added where a target does not answer, in requests. */
const PAUSED_COST = 1_000;

/** What a choice is made from. */
export interface CallTargetQuery {
  readonly targets: readonly Target[];
  readonly dataCentre: string;
  /** Targets that were tried already. */
  readonly tried: ReadonlySet<string>;
  readonly random: RandomSource;
}

/**
 * The target with the least load for its slots. Serves the load of many short
 * calls over few targets, from entries that do not know of each other.
 *
 * @example
 * const target = chooseCallTarget({targets, dataCentre, tried, random});
 */
export function chooseCallTarget(choice: CallTargetQuery): Target | undefined {
  const usual = computeBaseline(choice.targets);
  let best: Target | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of choice.targets) {
    if (choice.tried.has(target.id)) continue;
    const cost = costOf(target, choice, usual);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

function costOf(
  target: Target,
  choice: CallTargetQuery,
  usual: ServiceBaseline,
): number {
  const {slots, dataCentre} = target.record;
  const requests = target.estimatedRequests();
  let cost = requests + choice.random.float() * JITTER;
  if (requests >= slots) cost += requests - slots + 1;
  if (dataCentre !== choice.dataCentre) cost += DISTANCE_COST;
  cost += excessFailureShare(target, usual) * FAILING_COST;
  if (target.isFull()) cost += FULL_COST;
  if (target.isPaused()) cost += PAUSED_COST;
  return cost;
}
