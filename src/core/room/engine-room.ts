/** Whether the KV cache of an engine has room for a generation. */
import type {Target} from '../targets/index.js';
import {MAX_REPORT_AGE_MS} from '../targets/index.js';

/** Share of an engine's KV cache up to which copies may fill it. */
const KV_CACHE_SHARE = 0.9;

/** Generations for which an engine keeps room that are more urgent. */
const SPARE_GENERATIONS = 1;

/** Input of the functions of this module. */
export interface EngineRoomQuery {
  readonly target: Target;
  /** Tokens of the generation in the KV cache at its end. */
  readonly tokens: number;
  /** Mean of that over the generations of the service. */
  readonly meanTokens: number;
  /** Capacity of an engine's KV cache, in tokens. */
  readonly kvCapacityTokens: number;
}

/**
 * Whether a generation fits to its end and leaves room for a more urgent one, as
 * far as this entry knows.
 *
 * Answers bursts of less urgent generations: their ends are seconds away when
 * the first urgent one comes.
 *
 * @example
 * if (!leavesSpareRoom(query)) lookElsewhere();
 */
export function leavesSpareRoom(query: EngineRoomQuery): boolean {
  const {tokens, meanTokens, kvCapacityTokens} = query;
  const neededTokens = tokens + SPARE_GENERATIONS * meanTokens;
  // An empty engine takes any size.
  return (
    tokensAtEnd(query) + neededTokens <= kvCapacityTokens ||
    tokensAtEnd(query) === 0
  );
}

/**
 * Whether an engine has room for a copy beside its present work. Without a recent
 * report nothing shows it.
 *
 * Answers the load at which the copies of some generations would preempt others.
 *
 * @example
 * const holders = engines.filter((target) => hasRoomForCopy({target, ...rest}));
 */
export function hasRoomForCopy(query: EngineRoomQuery): boolean {
  const {target, tokens, kvCapacityTokens} = query;
  if (target.reportAgeMs() > MAX_REPORT_AGE_MS) return false;
  return tokensAtEnd(query) + tokens <= kvCapacityTokens * KV_CACHE_SHARE;
}

/**
 * Tokens that the present work of an engine holds at its end. A report names the
 * tokens of now, to which running generations add theirs.
 */
function tokensAtEnd({target, meanTokens}: EngineRoomQuery): number {
  return Math.max(
    target.plannedTokens(),
    target.estimatedRequests() * meanTokens,
  );
}
