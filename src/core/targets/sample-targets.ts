/** Chooses the targets that are probed when a data centre may have failed. */
import type {RandomSource} from '../clock/index.js';
import type {Target} from './target.js';

/** Most targets without own work that are probed together. */
export const SAMPLE_SIZE = 24;

/**
 * Returns the targets to probe: those that run work of this entry, which may be
 * lost, and a random sample of the others, which shows whether they are.
 *
 * Answers the load of fleets whose data centres hold hundreds of targets: an
 * entry that is cut off would otherwise open a connection to each of them.
 *
 * @example
 * for (const target of sampleTargets({targets, random})) void probe(target);
 */
export function sampleTargets(options: {
  targets: readonly Target[];
  random: RandomSource;
}): Target[] {
  const {targets, random} = options;
  const busy = targets.filter((target) => target.running > 0);
  const others = targets.filter((target) => target.running === 0);
  const count = Math.min(SAMPLE_SIZE, others.length);
  // The first `count` steps of a Fisher-Yates shuffle.
  for (let i = 0; i < count; i++) {
    const j = i + random.below(others.length - i);
    [others[i], others[j]] = [others[j]!, others[i]!];
  }
  return [...busy, ...others.slice(0, count)];
}
