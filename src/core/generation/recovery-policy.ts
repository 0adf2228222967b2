/** Policies for the recovery of generations, by the goal of a deployment. */
import {RecoveryGoal} from '../config/types.js';

/** Recovery policy of a deployment. */
export interface RecoveryPolicy {
  /**
   * A hedged attempt starts when the current one has been silent for this
   * share of the silence allowed to its agent; Infinity disables hedging.
   */
  readonly hedgeShare: number;
  /** Whether a resume prefers targets with the prompt in the cache. */
  readonly prefersCached: boolean;
}

/** Recovers fast: starts hedged attempts at idle targets. */
const LATENCY: RecoveryPolicy = {
  hedgeShare: 2 / 3,
  prefersCached: false,
};

/** Saves resources: starts no hedged attempts, and prefers cached prompts. */
const RESOURCES: RecoveryPolicy = {
  hedgeShare: Number.POSITIVE_INFINITY,
  prefersCached: true,
};

/**
 * Returns the policy for the recovery goal of a deployment.
 *
 * @example
 * resolveRecoveryPolicy(cfg.recovery.weigh).prefersCached;
 */
export function resolveRecoveryPolicy(goal: RecoveryGoal): RecoveryPolicy {
  return goal === RecoveryGoal.RESOURCES ? RESOURCES : LATENCY;
}
