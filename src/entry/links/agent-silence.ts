/** Measures for how long an agent has sent nothing, and how long it may. */
import type {Clock} from '../../core/clock/index.js';
import {RecoveryGoal} from '../../core/config/index.js';
import {
  BUSY_BOUNDS,
  IDLE_BOUNDS,
  SilenceTimeout,
} from '../../core/membership/index.js';

/**
 * The silence of one agent. Agents without work of this entry send less often,
 * so that silence is measured and bounded apart while there is some.
 *
 * @example
 * const silence = new AgentSilence(clock);
 * silence.recordReceived({isBusy: true});
 * silence.isTooLong({isBusy: true});
 */
export class AgentSilence {
  private readonly busyGaps = new SilenceTimeout(
    BUSY_BOUNDS[RecoveryGoal.LATENCY],
  );
  private readonly idleGaps = new SilenceTimeout(IDLE_BOUNDS);
  /** When the agent last sent anything; reset after a pause of this process. */
  private lastReceivedAtMs: number;
  /** Silence from before that does not count while there is work. */
  private busySinceMs = 0;

  constructor(private readonly clock: Clock) {
    this.lastReceivedAtMs = clock.now();
  }

  /** Applies the recovery goal of the deployment. */
  setRecoveryGoal(goal: RecoveryGoal): void {
    this.busyGaps.setBounds(BUSY_BOUNDS[goal]);
  }

  /** Measures anew: the connection or this process was not there before. */
  reset(): void {
    this.lastReceivedAtMs = this.clock.now();
  }

  /** Records that the agent has work of this entry from now on. */
  beginBusy(): void {
    this.busySinceMs = this.clock.now();
  }

  /** Records that the agent has sent something, and the gap before it. */
  recordReceived({isBusy}: {isBusy: boolean}): void {
    this.gaps(isBusy).recordGap(this.silentForMs(isBusy));
    this.reset();
  }

  /** Whether a share of the silence that is allowed has passed. */
  isTooLong({isBusy, share = 1}: {isBusy: boolean; share?: number}): boolean {
    const allowedMs = this.gaps(isBusy).timeoutMs() * share;
    return this.silentForMs(isBusy) > allowedMs;
  }

  private gaps(isBusy: boolean): SilenceTimeout {
    return isBusy ? this.busyGaps : this.idleGaps;
  }

  private silentForMs(isBusy: boolean): number {
    const sinceMs = isBusy
      ? Math.max(this.lastReceivedAtMs, this.busySinceMs)
      : this.lastReceivedAtMs;
    return this.clock.now() - sinceMs;
  }
}
