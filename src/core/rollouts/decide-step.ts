/** Decides how much of the traffic the new version gets. */
import {
  CANARY_PART,
  FEW_ANSWERS_FROM,
  FULL_FROM,
  HALF_FROM,
  HALF_SHARE,
  LOADED_FROM,
  LOADED_SHARE,
  MAX_EVIDENCE_AGE_MS,
  MAX_MIN_STEP_MS,
  MIN_LOADED_ANSWERS,
  MIN_LOADED_TARGETS,
  MIN_OPEN_TARGETS,
  MIN_STEP_ANSWERS,
  MIN_STEP_PART,
} from './consts.js';
import {RolloutStep} from './types.js';

/** What is known of a roll-out at one entry. */
export interface StepQuery {
  readonly step: RolloutStep;
  /** Time at this step, in milliseconds. */
  readonly stepMs: number;
  /** Time for which any entry has known the order, in milliseconds. */
  readonly ageMs: number;
  readonly durationMs: number;
  /** Answers of the new version over all entries. */
  readonly answers: number;
  /** Age of the newest read of the others' evidence, in milliseconds. */
  readonly evidenceAgeMs: number;
  /** Registered targets of the new version that take work. */
  readonly newTargets: number;
}

const FROM: ReadonlyMap<RolloutStep, number> = new Map([
  [RolloutStep.LOADED, LOADED_FROM],
  [RolloutStep.HALF, HALF_FROM],
  [RolloutStep.FULL, FULL_FROM],
]);

/**
 * Returns the next step, or the present one. It grows with the time, so that a
 * version which turns bad is met while it gets little, and only while there are
 * answers and the others' evidence is fresh. An entry that is cut off stays.
 *
 * @example
 * const step = decideStep({step: RolloutStep.CANARY, ...known});
 */
export function decideStep(query: StepQuery): RolloutStep {
  const {step, stepMs, ageMs, durationMs, answers} = query;
  const next: RolloutStep = step + 1;
  const from = FROM.get(next);
  if (from === undefined || query.newTargets === 0) return step;
  if (query.evidenceAgeMs > MAX_EVIDENCE_AGE_MS) return step;
  if (stepMs < Math.min(durationMs * MIN_STEP_PART, MAX_MIN_STEP_MS))
    return step;
  const part = ageMs / durationMs;
  const enough =
    next === RolloutStep.LOADED ? MIN_LOADED_ANSWERS : MIN_STEP_ANSWERS;
  const isProven = answers >= enough || part >= FEW_ANSWERS_FROM;
  return part >= from && isProven ? next : step;
}

/**
 * Returns the share of the traffic that a step gives the new version.
 *
 * @example
 * shareOf(RolloutStep.HALF, 0.1); // 0.5
 */
export function shareOf(step: RolloutStep, exposureShare: number): number {
  switch (step) {
    case RolloutStep.CANARY:
      return exposureShare * CANARY_PART;
    case RolloutStep.LOADED:
      return LOADED_SHARE;
    case RolloutStep.HALF:
      return HALF_SHARE;
    case RolloutStep.FULL:
      return 1;
  }
}

/** Whether the bound on the exposure still holds in a step. */
export function isWithinBound(step: RolloutStep): boolean {
  return step < RolloutStep.HALF;
}

/**
 * Returns how many targets of the new version are used in a step: few enough
 * that each has the load which it would have with all of the traffic.
 *
 * @example
 * openTargets({step: RolloutStep.LOADED, share: 0.25, targets: 80}); // 20
 */
export function openTargets(options: {
  step: RolloutStep;
  share: number;
  targets: number;
}): number {
  const {step, share, targets} = options;
  if (!isWithinBound(step)) return targets;
  const least =
    step === RolloutStep.CANARY ? MIN_OPEN_TARGETS : MIN_LOADED_TARGETS;
  return Math.min(targets, Math.max(least, Math.ceil(share * targets)));
}
