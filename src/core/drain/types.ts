/** How far a process that leaves has come. */
export interface DrainState {
  /** Time since it began to leave, in milliseconds. */
  readonly drainingForMs: number;
  /** Time since it last had work, in milliseconds; 0 while it has some. */
  readonly idleForMs: number;
  /** Work that was taken and has not ended. */
  readonly running: number;
  /** Bytes of answers that have not left yet. */
  readonly unsentBytes: number;
  /** Connected peers that have not promised to send no more work. */
  readonly pendingPeers: number;
}

/** Bounds of a drain. */
export interface DrainLimits {
  /** Least time for which new work is still refused, in milliseconds. */
  readonly minDrainMs: number;
  /** Longest wait for peers that do not read or answer, in milliseconds. */
  readonly peerTimeoutMs: number;
}

/** What a drain waits for. */
export interface DrainWork {
  countRunning(): number;
  countUnsentBytes(): number;
  countPendingPeers(): number;
}
