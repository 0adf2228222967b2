import type {Maybe} from 'purify-ts';
import {Just, Nothing} from 'purify-ts';

import type {RandomSource} from '../clock/index.js';
import {PREFIX_SLACK} from './consts.js';
import {slowStartShare, utilisationOf} from './estimate-load.js';
import type {OutlierDetector} from './outlier-detector.js';
import type {ChoiceQuery, TargetChooser, TargetView} from './types.js';

/** A target with its utilisation. */
interface Candidate {
  readonly target: TargetView;
  /** Share of its whole capacity that is in use. */
  readonly utilisation: number;
  /** Share in use of the part of its capacity that slow start allows. */
  readonly effectiveUtilisation: number;
}

/**
 * Draws two targets with free capacity at random and takes the less loaded
 * one, or a target that has the prompt's prefix in its cache and whose
 * utilisation is at most `PREFIX_SLACK` higher. If no target has free capacity,
 * takes the least loaded of all.
 *
 * @example
 * new LoadAwareChooser({random, outliers}).choose({query, targets});
 */
export class LoadAwareChooser implements TargetChooser {
  constructor(
    private readonly options: {random: RandomSource; outliers: OutlierDetector},
  ) {}

  choose(options: {
    query: ChoiceQuery;
    targets: readonly TargetView[];
  }): Maybe<TargetView> {
    const {query, targets} = options;
    const candidates = this.candidatesOf(query, targets);
    if (candidates.length === 0) return Nothing;
    const withCapacity = candidates.filter(
      ({effectiveUtilisation}) => effectiveUtilisation < 1,
    );
    if (withCapacity.length === 0)
      return Just(leastUtilised(candidates).target);
    const drawn = this.lessLoadedOfTwo(withCapacity);
    return Just(preferCached({query, withCapacity, drawn}).target);
  }

  private candidatesOf(
    query: ChoiceQuery,
    targets: readonly TargetView[],
  ): Candidate[] {
    const ofService = targets.filter(
      (target) => target.usable && target.service === query.service,
    );
    const vms = ofService.map(({vm}) => vm);
    const selectable = new Set(this.options.outliers.filterSelectable({vms}));
    const usable = ofService.filter(({vm}) => !query.exclude.includes(vm));
    const healthy = usable.filter(({vm}) => selectable.has(vm));
    // Falls back to ejected targets if there are no others.
    const pool = healthy.length > 0 ? healthy : usable;
    return pool.map(createCandidate);
  }

  private lessLoadedOfTwo(candidates: readonly Candidate[]): Candidate {
    const {random} = this.options;
    const first = random.below(candidates.length);
    if (candidates.length === 1) return candidates[first]!;
    const step = 1 + random.below(candidates.length - 1);
    const second = (first + step) % candidates.length;
    return leastLoadedOf([candidates[first]!, candidates[second]!]);
  }
}

function preferCached(options: {
  query: ChoiceQuery;
  withCapacity: readonly Candidate[];
  drawn: Candidate;
}): Candidate {
  const {query, withCapacity, drawn} = options;
  if (query.prefix === '') return drawn;
  const cached = withCapacity.filter(
    ({target, effectiveUtilisation}) =>
      effectiveUtilisation <= drawn.effectiveUtilisation + PREFIX_SLACK &&
      target.cachedPrefixes.includes(query.prefix),
  );
  return cached.length === 0 ? drawn : leastLoadedOf(cached);
}

function leastLoadedOf(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((a, b) =>
    b.effectiveUtilisation < a.effectiveUtilisation ? b : a,
  );
}

/**
 * Prefers targets with a free slot, even during slow start, so that requests do
 * not wait at a full target.
 */
function leastUtilised(candidates: readonly Candidate[]): Candidate {
  const free = candidates.filter(({utilisation}) => utilisation < 1);
  if (free.length > 0) return leastLoadedOf(free);
  return candidates.reduce((a, b) => (b.utilisation < a.utilisation ? b : a));
}

function createCandidate(target: TargetView): Candidate {
  const utilisation = utilisationOf(target);
  return {
    target,
    utilisation,
    effectiveUtilisation: utilisation / slowStartShare(target),
  };
}
