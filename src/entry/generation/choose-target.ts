/** The choice of a target for an attempt. */
import {prefixFingerprintOf} from '../../core/generation/index.js';
import type {RecoveryPolicy} from '../../core/generation/index.js';
import type {TargetChooser, TargetView} from '../../core/routing/index.js';
import type {AttemptHistory} from './attempt-history.js';
import {IDLE_SHARE} from './consts.js';
import type {GenerationTask, GenerationDeps} from './run-types.js';

/** What an attempt asks of a target. */
export interface TargetQuery {
  readonly service: string;
  readonly dataCentre: string;
  readonly prompt: string;
  /** Targets on which attempts were lost; used again only in need. */
  readonly lostOn: readonly string[];
  /** Targets that refused just now. */
  readonly refusedBy: readonly string[];
  /** The attempt goes on with an answer. */
  readonly isResume: boolean;
}

/** A question and what it is answered from. */
export interface ChooseTargetOptions {
  readonly query: TargetQuery;
  readonly targets: readonly TargetView[];
  readonly chooser: TargetChooser;
  readonly policy: RecoveryPolicy;
}

/** Creates the question that a run asks now. */
export function createChoice(options: {
  order: GenerationTask;
  parts: GenerationDeps;
  history: Pick<AttemptHistory, 'lostOn' | 'refusedBy'>;
  isResume: boolean;
}): ChooseTargetOptions {
  const {order, parts, history, isResume} = options;
  const {lostOn, refusedBy} = history;
  const {chooser, links, dataCentre} = parts;
  const {service, spec} = order;
  const {prompt} = spec;
  const query = {service, dataCentre, prompt, lostOn, refusedBy, isResume};
  return {query, targets: links.views(), chooser, policy: links.policy()};
}

/**
 * Chooses a target, or returns undefined where none can be used now.
 *
 * @example
 * chooseTarget({query, targets: links.views(), chooser, policy});
 */
export function chooseTarget(
  options: ChooseTargetOptions,
): TargetView | undefined {
  const {query, targets, chooser, policy} = options;
  const {service, dataCentre, lostOn, refusedBy} = query;
  const prefix = prefixFingerprintOf(query.prompt);
  const choose = (
    exclude: readonly string[],
    among: readonly TargetView[],
  ): TargetView | undefined =>
    chooser
      .choose({query: {service, dataCentre, prefix, exclude}, targets: among})
      .extract();
  const fresh = [...lostOn, ...refusedBy];
  if (policy.prefersCached && query.isResume) {
    const cached = targets.filter((t) => isIdleWith(t, prefix));
    const found = choose(fresh, cached);
    if (found !== undefined) return found;
  }
  // Where all were tried, any that works now is better than none.
  return choose(fresh, targets) ?? choose(refusedBy, targets);
}

/**
 * Chooses an idle target for a second attempt beside a quiet one.
 *
 * @example
 * chooseIdleTarget({query, targets, chooser, policy});
 */
export function chooseIdleTarget(
  options: ChooseTargetOptions,
): TargetView | undefined {
  const targets = options.targets.filter((target) => isIdle(target));
  const {lostOn, refusedBy} = options.query;
  const found = chooseTarget({...options, targets});
  const tried =
    found !== undefined && [...lostOn, ...refusedBy].includes(found.vm);
  return tried ? undefined : found;
}

function isIdleWith(target: TargetView, prefix: string): boolean {
  return target.cachedPrefixes.includes(prefix) && isIdle(target);
}

function isIdle(target: TargetView): boolean {
  const used = Math.max(target.running, target.ownInFlight) + target.waiting;
  return used < target.capacity * IDLE_SHARE;
}
