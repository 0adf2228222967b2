import type {DrainLimits} from './types.js';

/** Interval between checks whether a drain is complete, in milliseconds. */
export const DRAIN_POLL_MS = 50;

/** Delay before a failed check is repeated, in milliseconds. */
export const DRAIN_RESTART_MS = 500;

/**
 * Bounds for an entry, which refuses new work long enough for load balancers
 * and callers to notice.
 */
export const ENTRY_DRAIN_LIMITS: DrainLimits = {
  minDrainMs: 2_000,
  peerTimeoutMs: 5_000,
};

/**
 * Bounds for an agent, which keeps running for claims that were written before
 * it began to drain.
 */
export const AGENT_DRAIN_LIMITS: DrainLimits = {
  minDrainMs: 1_000,
  peerTimeoutMs: 5_000,
};
