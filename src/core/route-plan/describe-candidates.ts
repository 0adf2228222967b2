/** Describes targets with the figures that decide. */
import type {Target} from '../targets/index.js';
import type {RankedTargets} from './rank-targets.js';
import type {Candidate, ServiceTargets} from './types.js';
import {CandidateState} from './types.js';

/**
 * Describes all targets of a service: the ranked ones in their order, then those
 * that get no work.
 *
 * @example
 * describeCandidates({targets, ranking, isEngine: false});
 */
export function describeCandidates(options: {
  targets: ServiceTargets;
  ranking: RankedTargets;
  isEngine: boolean;
  /** Comes first; undefined if the request would not be sent now. */
  chosen?: Target;
}): Candidate[] {
  const {targets, ranking, isEngine, chosen} = options;
  const {ranked, affinity} = ranking;
  const first = chosen === undefined ? [] : [chosen];
  const rest = ranked.filter((target) => target !== chosen);
  const others = targets.registered.filter((t) => !ranked.includes(t));
  return [...first, ...rest, ...others].map((target) => ({
    id: target.id,
    state: stateOf(target, targets),
    isChosen: target === chosen,
    dataCentre: target.record.dataCentre,
    version: target.record.version,
    requests: isEngine ? target.estimatedRequests() : target.expectedRequests(),
    slots: target.slots,
    slowness: target.slowness,
    reportAgeMs: ageOf(target),
    failureShare: target.failureShare,
    limitPerSecond: target.limitPerSecond,
    plannedTokens: isEngine ? target.plannedTokens() : undefined,
    promptAdvantage: affinity.get(target),
  }));
}

function stateOf(target: Target, {admitted}: ServiceTargets): CandidateState {
  if (target.record.isDraining) return CandidateState.DRAINING;
  if (!admitted.includes(target)) return CandidateState.HELD_BY_ROLLOUT;
  if (target.backoffLeftMs() > 0) return CandidateState.BACKING_OFF;
  if (target.isPaused()) return CandidateState.PAUSED;
  if (target.isFull()) return CandidateState.FULL;
  return target.limitPerSecond === undefined
    ? CandidateState.USABLE
    : CandidateState.LIMITED;
}

function ageOf(target: Target): number | undefined {
  const ageMs = target.reportAgeMs();
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
