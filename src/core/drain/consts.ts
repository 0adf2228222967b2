import type {DrainLimits} from './types.js';

/** How often a drain looks whether it has ended, in milliseconds. */
export const DRAIN_POLL_MS = 50;

/** An entry refuses for long enough that balancers and callers notice. */
export const ENTRY_DRAIN_LIMITS: DrainLimits = {
  minDrainMs: 2_000,
  peerTimeoutMs: 5_000,
};

/** An agent outlasts claims that were written before it began to leave. */
export const AGENT_DRAIN_LIMITS: DrainLimits = {
  minDrainMs: 1_000,
  peerTimeoutMs: 5_000,
};
