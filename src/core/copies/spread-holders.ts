/** Spreads the copies of many entries over the engines. */
import type {RandomSource} from '../clock/index.js';

/** Least number of engines among which a holder is chosen. */
const MIN_CANDIDATES = 4;

/** Share of the engines of a data centre among which a holder is chosen. */
const CANDIDATE_SHARE = 0.15;

/** What is used of an engine. */
interface Holder {
  readonly record: {readonly dataCentre: string};
}

/** The engines of a service, of which some may keep a copy. */
export interface HolderQuery<T extends Holder> {
  readonly targets: readonly T[];
  /** Whether an engine has sent a message lately, so that it is not lost. */
  readonly isSeen: (target: T) => boolean;
  readonly random: RandomSource;
}

/**
 * Returns a random part of the engines of each data centre, among which the best
 * is to keep a copy; those seen lately come first. All entries see the same
 * engines as idle, above all those that have just started, and would fill the
 * memory of a few with copies.
 *
 * @example
 * const targets = spreadHolders({targets: engines, isSeen, random});
 * const holder = chooseEngine({...query, targets});
 */
export function spreadHolders<T extends Holder>(query: HolderQuery<T>): T[] {
  const byDataCentre = new Map<string, T[]>();
  for (const target of query.targets) {
    const {dataCentre} = target.record;
    const others = byDataCentre.get(dataCentre);
    if (others === undefined) byDataCentre.set(dataCentre, [target]);
    else others.push(target);
  }
  return [...byDataCentre.values()].flatMap((targets) =>
    sample({...query, targets}),
  );
}

function sample<T extends Holder>(query: HolderQuery<T>): T[] {
  const {targets, isSeen, random} = query;
  const share = Math.ceil(targets.length * CANDIDATE_SHARE);
  const count = Math.max(MIN_CANDIDATES, share);
  return targets
    .map((target) => ({
      target,
      rank: random.float() + (isSeen(target) ? 0 : 1),
    }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({target}) => target);
}
