/**
 * Chooses the engines that run a generation and keep a copy of its KV cache.
 */
import type {RandomSource} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {ServiceBaseline} from './service-baseline.js';
import {
  computeBaseline,
  excessFailureShare,
  relativeSlowness,
} from './service-baseline.js';

/** Cost of each running or waiting prefill, in running requests. */
const PREFILL_COST = 5;

/** Cost of streams twice as slow as the median, in running requests. */
const SLOW_COST = 8;

/** Cost of a failure share 1 above the mean, in running requests. */
const FAILURE_COST = 30;

/** Cost of exceeding `KV_CACHE_SHARE`, in running requests. */
const KV_CACHE_FULL_COST = 100;

/** Share of an engine's KV cache that may be planned for. */
const KV_CACHE_SHARE = 0.9;

/** Cost of an engine that has just rejected a request, in running requests. */
const FULL_COST = 50;

/** Cost of an engine that does not respond, in running requests. */
const PAUSED_COST = 1_000;

/** Upper bound of the random cost that breaks ties, in running requests. */
const JITTER = 1;

/** Input of `chooseEngine` and `shortlistEngines`. */
export interface EngineQuery {
  readonly targets: readonly Target[];
  /** Tokens of the generation in the KV cache at its end. */
  readonly tokens: number;
  /** Capacity of an engine's KV cache, in tokens. */
  readonly kvCapacityTokens: number;
  /** Ids of targets that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Data centres to avoid if another one has engines. */
  readonly avoidedDataCentres?: ReadonlySet<string>;
  /** Whether to prefer engines from which a message was received recently. */
  readonly preferRecentlySeen?: boolean;
  /** Advantage of engines for the prompt, in running requests. */
  readonly affinity?: ReadonlyMap<Target, number>;
  readonly random: RandomSource;
}

/**
 * Age of an engine's last message up to which it counts as seen recently, in
 * milliseconds.
 */
const RECENTLY_SEEN_MS = 1_500;

/** Cost of an engine that was not seen recently, in running requests. */
const NOT_SEEN_COST = 20;

/** Cost of an engine in an avoided data centre, in running requests. */
const AVOIDED_DATA_CENTRE_COST = 200;

/**
 * Chooses the engine on which a generation delays others least: few running
 * requests, no prompt in prefill, and KV cache for all of its tokens. Meant for
 * long prompts, each of which blocks an engine for a second.
 *
 * @example
 * const engine = chooseEngine({targets, tokens, kvCapacityTokens, excluded, random});
 */
export function chooseEngine(query: EngineQuery): Target | undefined {
  return shortlistEngines(query, 1)[0];
}

/**
 * Returns the engines with the lowest cost for a generation, best first.
 *
 * @example
 * await prober.refresh(shortlistEngines(query, 3));
 */
export function shortlistEngines(query: EngineQuery, count: number): Target[] {
  const baseline = computeBaseline(query.targets);
  return query.targets
    .filter((target) => !query.excluded.has(target.id))
    .map((target) => ({target, cost: costOf(target, query, baseline)}))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, count)
    .map(({target}) => target);
}

function costOf(
  target: Target,
  query: EngineQuery,
  baseline: ServiceBaseline,
): number {
  const {
    tokens,
    kvCapacityTokens,
    avoidedDataCentres,
    random,
    preferRecentlySeen,
    affinity,
  } = query;
  let cost = target.estimatedRequests() + random.float() * JITTER;
  cost += target.estimatedPrefills() * PREFILL_COST;
  cost -= affinity?.get(target) ?? 0;
  cost += relativeSlowness(target, baseline) * SLOW_COST;
  cost += excessFailureShare(target, baseline) * FAILURE_COST;
  const plannedTokens = target.plannedTokens() + tokens;
  if (plannedTokens > kvCapacityTokens * KV_CACHE_SHARE)
    cost += KV_CACHE_FULL_COST;
  if (target.isFull()) cost += FULL_COST;
  if (target.isPaused()) cost += PAUSED_COST;
  if (avoidedDataCentres?.has(target.record.dataCentre))
    cost += AVOIDED_DATA_CENTRE_COST;
  if (preferRecentlySeen && target.lastSeenAgeMs() > RECENTLY_SEEN_MS)
    cost += NOT_SEEN_COST;
  return cost;
}
