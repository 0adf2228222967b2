/** Ranks the targets of a request by the choosers that place real requests. */
import type {RandomSource} from '../clock/index.js';
import {
  chooseCallTarget,
  chooseEngine,
  promptAffinity,
  SHORTLIST_SIZE,
  shortlistEngines,
} from '../placing/index.js';
import type {Target} from '../targets/index.js';
import type {PlannedRequest} from './types.js';

/** The usable targets in the order of choice. */
export interface RankedTargets {
  readonly ranked: readonly Target[];
  readonly chosen?: Target;
  /** Advantage of engines for the prompt, in running requests. */
  readonly affinity: ReadonlyMap<Target, number>;
}

/** Draws nothing, so that a plan is the same each time and moves no sequence. */
const NO_RANDOM: RandomSource = {float: () => 0, below: () => 0, id: () => ''};

/**
 * Ranks targets for a plain call.
 *
 * @example
 * rankForCall(targets, 'a').chosen;
 */
export function rankForCall(
  targets: readonly Target[],
  dataCentre: string,
): RankedTargets {
  const excluded = new Set<string>();
  const ranked: Target[] = [];
  const choose = () =>
    chooseCallTarget({targets, dataCentre, excluded, random: NO_RANDOM});
  for (let next = choose(); next !== undefined; next = choose()) {
    ranked.push(next);
    excluded.add(next.id);
  }
  return {ranked, chosen: ranked[0], affinity: new Map()};
}

/**
 * Ranks engines for a generation. The chosen one is the best of the shortlist by
 * the reports there are; an entry reads new ones before it sends.
 *
 * @example
 * rankForGeneration(targets, request).chosen;
 */
export function rankForGeneration(
  targets: readonly Target[],
  request: PlannedRequest,
): RankedTargets {
  const {query, service} = request;
  const affinity = promptAffinity({
    promptParts: query.promptParts,
    isReturning: false,
    targets: targets.filter((target) => !target.isPaused()),
  });
  const engineQuery = {
    targets,
    tokens: tokensOf(request),
    kvCapacityTokens: service.engine?.kvCapacityTokens ?? Infinity,
    excluded: new Set<string>(),
    affinity,
    random: NO_RANDOM,
  };
  const all = shortlistEngines(engineQuery, Number.POSITIVE_INFINITY);
  const shortlist = all.slice(0, SHORTLIST_SIZE);
  const best = chooseEngine({...engineQuery, targets: shortlist});
  const chosen = best?.isPaused() === false ? best : undefined;
  const rest = all.filter((target) => target !== chosen);
  const ranked = chosen === undefined ? rest : [chosen, ...rest];
  return {ranked, chosen, affinity};
}

/**
 * Tokens of a generation in the KV cache at its end.
 *
 * @example
 * tokensOf(request); // 6000
 */
export function tokensOf({query}: PlannedRequest): number {
  const {promptTokens = 0, maxOutputTokens = 0} = query.generation ?? {};
  return promptTokens + maxOutputTokens;
}
