import type {DrainLimits, DrainState} from './types.js';

/**
 * Whether a draining process may exit: no work runs, all responses were sent
 * and no peer can still send work. Work in progress delays the exit without
 * bound, peers that do not respond only for a bounded time.
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
