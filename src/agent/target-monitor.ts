/** Monitors the agent's target and writes its state to the board. */
import type {ResultAsync} from 'neverthrow';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {DriverError} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import {SilenceLimit} from '../core/generation/index.js';
import type {Logger} from '../core/logs/index.js';
import {TargetPhase} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {AgentBoard, TargetReport} from './agent-board.js';
import {
  PAUSE_DETECTION_MS,
  PROBE_FAILURE_THRESHOLD,
  PROBE_PERIOD_MS,
  PROBE_TIMEOUT_MAX_MS,
  PROBE_TIMEOUT_MS,
} from './consts.js';

/** Requests a report from the target. */
export interface TargetProbe {
  probe(options: {timeoutMs: number}): ResultAsync<TargetReport, DriverError>;
}

/** Probes the target periodically. */
export class TargetMonitor {
  private timer: TimerHandle | undefined;
  private failures = 0;
  private isProbing = false;
  /** Whether to probe again when the running probe has ended. */
  private mustProbeAgain = false;
  /** Callbacks that resolve the promises of `checkNow`. */
  private readonly waiters: Array<() => void> = [];
  private readonly responseTimes = new SilenceLimit();

  constructor(
    private readonly options: {
      board: AgentBoard;
      clock: Clock;
      probe: TargetProbe;
      logger: Logger;
      supervisor: Supervisor;
      /** Time of the last token from the target; -Infinity if none. */
      lastTokenAtMs: () => number;
    },
  ) {}

  open(): void {
    this.timer = this.options.clock.repeat({
      periodMs: PROBE_PERIOD_MS,
      run: () => this.check(),
    });
    this.check();
  }

  close(): void {
    this.timer?.cancel();
  }

  /**
   * Probes at once, for instance after a stream was lost. Resolves when a probe
   * that started after this call has ended.
   */
  checkNow(): Promise<void> {
    this.mustProbeAgain = this.isProbing;
    this.check();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private check(): void {
    if (this.isProbing) return;
    const {supervisor} = this.options;
    supervisor.run({name: TaskName.HEALTH_CHECK}, () => this.probe());
  }

  private async probe(): Promise<void> {
    this.isProbing = true;
    try {
      await this.probeOnce();
    } finally {
      this.isProbing = false;
      this.finishProbe();
    }
  }

  private finishProbe(): void {
    if (this.mustProbeAgain) {
      this.mustProbeAgain = false;
      this.check();
      return;
    }
    for (const resolve of this.waiters.splice(0)) resolve();
  }

  private async probeOnce(): Promise<void> {
    const startedAtMs = this.options.clock.now();
    const timeoutMs = this.timeoutMs();
    const probed = await this.options.probe.probe({timeoutMs});
    probed.match(
      (report) => this.handleReport(report, startedAtMs),
      (err) => this.handleFailure(err, startedAtMs + timeoutMs),
    );
  }

  /** Returns the probe timeout, which grows if earlier probes were slow. */
  private timeoutMs(): number {
    const allowedMs = this.responseTimes.allowedMs(PROBE_TIMEOUT_MS);
    return Math.min(allowedMs, PROBE_TIMEOUT_MAX_MS);
  }

  private handleReport(report: TargetReport, startedAtMs: number): void {
    this.responseTimes.observe(this.options.clock.now() - startedAtMs);
    this.failures = 0;
    const {board} = this.options;
    const previousInstance = board.report.get().instance;
    const hasRestarted =
      previousInstance !== '' && previousInstance !== report.instance;
    // The phase DOWN fails the attempts that ran in the previous instance.
    if (hasRestarted) this.setPhase(TargetPhase.DOWN);
    board.report.set(report);
    this.setPhase(TargetPhase.HEALTHY);
  }

  private handleFailure(err: DriverError, expiresAtMs: number): void {
    if (err.kind === DriverErrorKind.NOT_SENT) {
      this.setPhase(TargetPhase.DOWN);
      return;
    }
    const isTimeout = err.kind === DriverErrorKind.TIMEOUT;
    if (isTimeout && this.isInconclusive(expiresAtMs)) return;
    this.failures++;
    if (this.failures < PROBE_FAILURE_THRESHOLD) {
      this.mustProbeAgain = true;
      return;
    }
    this.setPhase(TargetPhase.UNRESPONSIVE);
  }

  /**
   * Whether a timeout does not count as a failure: the engine has just sent a
   * token, or the timer fired late, which shows that this process was paused.
   */
  private isInconclusive(expiresAtMs: number): boolean {
    const nowMs = this.options.clock.now();
    const tokenAgeMs = nowMs - this.options.lastTokenAtMs();
    const lateMs = nowMs - expiresAtMs;
    return tokenAgeMs < PROBE_TIMEOUT_MS || lateMs > PAUSE_DETECTION_MS;
  }

  private setPhase(phase: TargetPhase): void {
    const {board, logger} = this.options;
    if (board.phase.get() === phase) return;
    logger.info('target phase changed', {from: board.phase.get(), to: phase});
    board.phase.set(phase);
  }
}
