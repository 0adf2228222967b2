/** Progress of a draining process. */
export interface DrainState {
  /** Time since it began to drain, in milliseconds. */
  readonly drainingForMs: number;
  /** Time since it last had work, in milliseconds; 0 while it has some. */
  readonly idleForMs: number;
  /** Number of accepted requests that have not ended. */
  readonly running: number;
  /** Number of bytes of responses that were not sent yet. */
  readonly unsentBytes: number;
  /**
   * Number of connected peers that have not confirmed that they send no more
   * work.
   */
  readonly pendingPeers: number;
}

/** Bounds of a drain. */
export interface DrainLimits {
  /** Least time for which the process refuses new work, in milliseconds. */
  readonly minDrainMs: number;
  /**
   * Longest wait for peers that do not read or respond, in milliseconds since
   * the process last had work.
   */
  readonly peerTimeoutMs: number;
}

/** Counts the work that a drain waits for. */
export interface DrainWork {
  countRunning(): number;
  countUnsentBytes(): number;
  countPendingPeers(): number;
}
