import type {Maybe} from 'purify-ts';
import {Just, Nothing} from 'purify-ts';

import type {RandomSource} from '../clock/index.js';
import type {ChoiceQuery, TargetChooser, TargetView} from './types.js';

/**
 * Draws two usable targets at random and takes the less loaded one (power of
 * two choices).
 *
 * @example
 * new PowerOfTwoChooser({random}).choose({query, targets});
 */
export class PowerOfTwoChooser implements TargetChooser {
  constructor(private readonly options: {random: RandomSource}) {}

  choose(options: {
    query: ChoiceQuery;
    targets: readonly TargetView[];
  }): Maybe<TargetView> {
    const {query, targets} = options;
    const usable = targets.filter((target) => isCandidate(target, query));
    if (usable.length === 0) return Nothing;
    const first = this.draw(usable);
    const second = this.draw(usable);
    return Just(utilisationOf(second) < utilisationOf(first) ? second : first);
  }

  private draw(targets: readonly TargetView[]): TargetView {
    return targets[this.options.random.below(targets.length)]!;
  }
}

function isCandidate(target: TargetView, query: ChoiceQuery): boolean {
  if (!target.usable || target.service !== query.service) return false;
  return !query.exclude.includes(target.vm);
}

/** Share of the target's capacity in use. */
function utilisationOf(target: TargetView): number {
  const used = Math.max(target.running, target.ownInFlight) + target.waiting;
  return used / Math.max(target.capacity, 1);
}
