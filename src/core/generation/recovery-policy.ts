/** Policies for the recovery from losses, by the priority of a deployment. */
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

/** Hedges attempts, which uses idle capacity. */
const LATENCY: RecoveryPolicy = {
  hedgeShare: 2 / 3,
  prefersCached: false,
};

/** Does not hedge, and prefers cached prompts. */
const RESOURCES: RecoveryPolicy = {
  hedgeShare: Number.POSITIVE_INFINITY,
  prefersCached: true,
};

/**
 * Returns the policy for the priority of a deployment.
 *
 * @example
 * resolveRecoveryPolicy(cfg.recovery.weigh).prefersCached;
 */
export function resolveRecoveryPolicy(weigh: RecoveryGoal): RecoveryPolicy {
  return weigh === RecoveryGoal.RESOURCES ? RESOURCES : LATENCY;
}
