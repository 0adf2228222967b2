import type {Maybe} from 'purify-ts';
import {Just, Nothing} from 'purify-ts';

import type {RandomSource} from '../clock/index.js';
import {PREFIX_SLACK} from './consts.js';
import {slowStartShare, utilisationOf} from './estimate-load.js';
import type {OutlierDetector} from './outlier-detector.js';
import type {ChoiceQuery, TargetChooser, TargetView} from './types.js';

/** A target with the shares of its capacity that are in use. */
interface Candidate {
  readonly target: TargetView;
  /** Of its whole capacity. */
  readonly utilisation: number;
  /** Of what it may take while it starts slowly. */
  readonly used: number;
}

/**
 * Draws two targets that have room and takes the less loaded one, or one
 * with the prompt's prefix where that is hardly more loaded. Where none has
 * room it takes the least loaded of all.
 *
 * @example
 * new LoadAwareChoice({random, failures}).choose({query, targets});
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
    const withRoom = candidates.filter(({used}) => used < 1);
    if (withRoom.length === 0) return Just(leastFull(candidates).target);
    const drawn = this.lighterOfTwo(withRoom);
    return Just(preferCached({query, withRoom, drawn}).target);
  }

  private candidatesOf(
    query: ChoiceQuery,
    targets: readonly TargetView[],
  ): Candidate[] {
    const ofService = targets.filter(
      (target) => target.usable && target.service === query.service,
    );
    const vms = ofService.map(({vm}) => vm);
    const kept = new Set(this.options.outliers.filterSelectable({vms}));
    const usable = ofService.filter(({vm}) => !query.exclude.includes(vm));
    const healthy = usable.filter(({vm}) => kept.has(vm));
    // An ejected target is better than none.
    const chosen = healthy.length > 0 ? healthy : usable;
    return chosen.map(createCandidate);
  }

  private lighterOfTwo(candidates: readonly Candidate[]): Candidate {
    const {random} = this.options;
    const first = random.below(candidates.length);
    if (candidates.length === 1) return candidates[first]!;
    const step = 1 + random.below(candidates.length - 1);
    const second = (first + step) % candidates.length;
    return lightestOf([candidates[first]!, candidates[second]!]);
  }
}

function preferCached(options: {
  query: ChoiceQuery;
  withRoom: readonly Candidate[];
  drawn: Candidate;
}): Candidate {
  const {query, withRoom, drawn} = options;
  if (query.prefix === '') return drawn;
  const cached = withRoom.filter(
    ({target, used}) =>
      used <= drawn.used + PREFIX_SLACK &&
      target.cachedPrefixes.includes(query.prefix),
  );
  return cached.length === 0 ? drawn : lightestOf(cached);
}

function lightestOf(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((a, b) => (b.used < a.used ? b : a));
}

/** A slow start never sends work to wait while another has a free slot. */
function leastFull(candidates: readonly Candidate[]): Candidate {
  const free = candidates.filter(({utilisation}) => utilisation < 1);
  if (free.length > 0) return lightestOf(free);
  return candidates.reduce((a, b) => (b.utilisation < a.utilisation ? b : a));
}

function createCandidate(target: TargetView): Candidate {
  const utilisation = utilisationOf(target);
  return {target, utilisation, used: utilisation / slowStartShare(target)};
}
