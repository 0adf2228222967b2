/** How losses are recovered from, by what a deployment weighs. */
import {RecoveryGoal} from '../config/types.js';

/** Thresholds of a deployment's recovery. */
export interface RecoveryPolicy {
  /**
   * A second attempt starts beside one that has been silent for this share
   * of the silence that makes its agent suspect; Infinity for never.
   */
  readonly hedgeShare: number;
  /** Whether a resume prefers targets that have the prompt cached. */
  readonly prefersCached: boolean;
}

/** A second attempt where capacity is idle. */
const LATENCY: RecoveryPolicy = {
  hedgeShare: 2 / 3,
  prefersCached: false,
};

/** No second attempt, and cached prompts first. */
const RESOURCES: RecoveryPolicy = {
  hedgeShare: Number.POSITIVE_INFINITY,
  prefersCached: true,
};

/**
 * Returns the policy for what a deployment weighs.
 *
 * @example
 * resolveRecoveryPolicy(cfg.recovery.weigh).prefersCached;
 */
export function resolveRecoveryPolicy(weigh: RecoveryGoal): RecoveryPolicy {
  return weigh === RecoveryGoal.RESOURCES ? RESOURCES : LATENCY;
}
