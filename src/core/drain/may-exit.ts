import type {DrainLimits, DrainState} from './types.js';

/**
 * Whether a process that leaves may end: nothing runs, everything was sent
 * and nobody can still be sending it work. Peers that are silent hold it up
 * for a bounded time only; work in progress holds it up without a bound.
 *
 * @example
 * if (mayExit(state, AGENT_DRAIN_LIMITS)) process.exit(0);
 */
export function mayExit(state: DrainState, limits: DrainLimits): boolean {
  if (state.running > 0) return false;
  if (state.drainingForMs < limits.minDrainMs) return false;
  if (state.unsentBytes === 0 && state.pendingPeers === 0) return true;
  return state.idleForMs >= limits.peerTimeoutMs;
}
