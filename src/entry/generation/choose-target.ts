/** Chooses the target of an attempt. */
import {prefixFingerprintOf} from '../../core/generation/index.js';
import type {RecoveryPolicy} from '../../core/generation/index.js';
import type {TargetChooser, TargetView} from '../../core/routing/index.js';
import type {AttemptHistory} from './attempt-history.js';
import {IDLE_SHARE} from './consts.js';
import type {GenerationTask, GenerationDeps} from './run-types.js';

/** What an attempt requires of a target. */
export interface TargetQuery {
  readonly service: string;
  readonly dataCentre: string;
  readonly prompt: string;
  /** Targets on which attempts were lost; chosen only if no other is usable. */
  readonly lostOn: readonly string[];
  /** Targets that refused recently; never chosen. */
  readonly refusedBy: readonly string[];
  /** Whether the attempt resumes an output that has tokens. */
  readonly isResume: boolean;
}

/** A query, the targets to choose from and how to choose. */
export interface ChooseTargetOptions {
  readonly query: TargetQuery;
  readonly targets: readonly TargetView[];
  readonly chooser: TargetChooser;
  readonly policy: RecoveryPolicy;
}

/** Creates the options of a choice from the current state of a run. */
export function createChoice(options: {
  task: GenerationTask;
  deps: GenerationDeps;
  history: Pick<AttemptHistory, 'lostOn' | 'refusedBy'>;
  isResume: boolean;
}): ChooseTargetOptions {
  const {task, deps, history, isResume} = options;
  const {lostOn, refusedBy} = history;
  const {chooser, links, dataCentre} = deps;
  const {service, spec} = task;
  const {prompt} = spec;
  const query = {service, dataCentre, prompt, lostOn, refusedBy, isResume};
  return {query, targets: links.views(), chooser, policy: links.policy()};
}

/**
 * Chooses a target, or returns undefined if none is usable now.
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
    candidates: readonly TargetView[],
  ): TargetView | undefined =>
    chooser
      .choose({
        query: {service, dataCentre, prefix, exclude},
        targets: candidates,
      })
      .extract();
  const excluded = [...lostOn, ...refusedBy];
  if (policy.prefersCached && query.isResume) {
    const cached = targets.filter((t) => isIdleWithCachedPrefix(t, prefix));
    const found = choose(excluded, cached);
    if (found !== undefined) return found;
  }
  // If no untried target is usable, one that lost an attempt is reused.
  return choose(excluded, targets) ?? choose(refusedBy, targets);
}

/**
 * Chooses an idle, untried target for a hedged attempt beside the one at a VM;
 * undefined if there is none.
 *
 * @example
 * chooseIdleTarget({query, targets, chooser, policy}, 'engine-1');
 */
export function chooseIdleTarget(
  options: ChooseTargetOptions,
  besideVm: string,
): TargetView | undefined {
  const targets = options.targets.filter((target) => isIdle(target));
  const {lostOn} = options.query;
  const refusedBy = [...options.query.refusedBy, besideVm];
  const query = {...options.query, refusedBy};
  const found = chooseTarget({...options, query, targets});
  const tried =
    found !== undefined && [...lostOn, ...refusedBy].includes(found.vm);
  return tried ? undefined : found;
}

function isIdleWithCachedPrefix(target: TargetView, prefix: string): boolean {
  return target.cachedPrefixes.includes(prefix) && isIdle(target);
}

function isIdle(target: TargetView): boolean {
  const used = Math.max(target.running, target.ownInFlight) + target.waiting;
  return used < target.capacity * IDLE_SHARE;
}
