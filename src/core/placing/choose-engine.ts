/** Chooses the engines of a generation: where it runs and where its copy goes. */
import type {RandomSource} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {ServiceBaseline} from './service-baseline.js';
import {
  computeBaseline,
  excessFailureShare,
  relativeSlowness,
} from './service-baseline.js';

/** What a prompt that is yet to be read delays others by, in running requests. */
const UNREAD_COST = 5;

/** Added where streams take twice as long as usual, in running requests. */
const SLOW_COST = 8;

/** Added where all answers fail that others give, in running requests. */
const FAILING_COST = 30;

/** What a full memory adds, in running requests. */
const MEMORY_COST = 100;

/** Share of an engine's memory that may be planned for. */
const MEMORY_SHARE = 0.9;

const FULL_COST = 50;
const PAUSED_COST = 1_000;

/** Spread of the random tie-breaker, in running requests. */
const JITTER = 1;

/** What a choice is made from. */
export interface EngineQuery {
  readonly targets: readonly Target[];
  /** Tokens that the generation needs at its end. */
  readonly tokens: number;
  readonly kvCapacityTokens: number;
  /** Targets that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Data centres to stay out of, where another has room. */
  readonly avoidedDataCentres?: ReadonlySet<string>;
  /** Prefer engines that were heard of lately. */
  readonly preferRecentlySeen?: boolean;
  readonly random: RandomSource;
}

/** Time for which an engine that was heard of is held to be there. */
const SEEN_LATELY_MS = 1_500;

/** Added where an engine was not heard of lately, in running requests. */
const UNSEEN_COST = 20;

/** What staying out of a data centre is worth, in running requests. */
const AVOIDED_COST = 200;

/**
 * The engine on which a generation disturbs others least: few running, none
 * reading a prompt, and memory for all of its tokens. Serves the load of long
 * prompts, of which one blocks an engine for a second.
 *
 * @example
 * const engine = chooseEngine({targets, tokens, memoryTokens, excluded, random});
 */
export function chooseEngine(choice: EngineQuery): Target | undefined {
  return shortlistEngines(choice, 1)[0];
}

/**
 * The best engines for a generation, best first.
 *
 * @example
 * await prober.refresh(shortlistEngines(choice, 3));
 */
export function shortlistEngines(choice: EngineQuery, count: number): Target[] {
  const usual = computeBaseline(choice.targets);
  return choice.targets
    .filter((target) => !choice.excluded.has(target.id))
    .map((target) => ({target, cost: costOf(target, choice, usual)}))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, count)
    .map(({target}) => target);
}

function costOf(
  target: Target,
  choice: EngineQuery,
  usual: ServiceBaseline,
): number {
  const {
    tokens,
    kvCapacityTokens: memoryTokens,
    avoidedDataCentres: avoided,
    random,
    preferRecentlySeen: isSeenLately,
  } = choice;
  let cost = target.estimatedRequests() + random.float() * JITTER;
  cost += target.estimatedPrefills() * UNREAD_COST;
  cost += relativeSlowness(target, usual) * SLOW_COST;
  cost += excessFailureShare(target, usual) * FAILING_COST;
  const planned = target.plannedTokens() + tokens;
  if (planned > memoryTokens * MEMORY_SHARE) cost += MEMORY_COST;
  if (target.isFull()) cost += FULL_COST;
  if (target.isPaused()) cost += PAUSED_COST;
  if (avoided?.has(target.record.dataCentre)) cost += AVOIDED_COST;
  if (isSeenLately && target.lastSeenAgeMs() > SEEN_LATELY_MS)
    cost += UNSEEN_COST;
  return cost;
}
