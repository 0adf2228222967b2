/** How losses are recovered from, by what a deployment weighs. */
import {Weigh} from '../config/types.js';

/** Thresholds of a deployment's recovery. */
export interface RecoveryPolicy {
  /** Least silence after which a busy agent is suspected, in ms. */
  readonly suspectBusyMs: number;
  /** Silence after which a second attempt starts beside; undefined: never. */
  readonly hedgeAfterMs: number | undefined;
  /** Whether a resume prefers targets that have the prompt cached. */
  readonly prefersCached: boolean;
}

/** Short thresholds, and a second attempt where capacity is idle. */
const LATENCY: RecoveryPolicy = {
  suspectBusyMs: 450,
  hedgeAfterMs: 300,
  prefersCached: false,
};

/** Long thresholds, no second attempt, and cached prompts first. */
const RESOURCES: RecoveryPolicy = {
  suspectBusyMs: 1_200,
  hedgeAfterMs: undefined,
  prefersCached: true,
};

/**
 * Returns the policy for what a deployment weighs.
 *
 * @example
 * resolveRecoveryPolicy(cfg.recovery.weigh).suspectBusyMs;
 */
export function resolveRecoveryPolicy(weigh: Weigh): RecoveryPolicy {
  return weigh === Weigh.RESOURCES ? RESOURCES : LATENCY;
}
