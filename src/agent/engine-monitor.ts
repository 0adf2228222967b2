/** Watches the target beside the agent and writes its phase to the board. */
import type {ResultAsync} from 'neverthrow';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {DriverError} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import {TargetPhase} from '../core/protocol/index.js';
import type {AgentBoard, TargetReport} from './agent-board.js';
import {
  PROBE_FAILURES_ALLOWED,
  PROBE_PERIOD_MS,
  PROBE_TIMEOUT_MS,
} from './consts.js';

/** Asks the target how it is. */
export interface TargetProbe {
  probe(options: {timeoutMs: number}): ResultAsync<TargetReport, DriverError>;
}

/** Probes the target again and again. */
export class EngineMonitor {
  private timer: TimerHandle | undefined;
  private failures = 0;
  private probing = false;

  constructor(
    private readonly options: {
      board: AgentBoard;
      clock: Clock;
      probe: TargetProbe;
      logger: Logger;
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

  private check(): void {
    if (this.probing) return;
    this.probing = true;
    void this.options.probe
      .probe({timeoutMs: PROBE_TIMEOUT_MS})
      .match(
        (report) => this.handleReport(report),
        (err) => this.handleFailure(err),
      )
      .then(() => {
        this.probing = false;
      });
  }

  private handleReport(report: TargetReport): void {
    this.failures = 0;
    const {board} = this.options;
    const before = board.report.get().instance;
    const restarted = before !== '' && before !== report.instance;
    if (restarted) this.setPhase(TargetPhase.DOWN);
    board.report.set(report);
    this.setPhase(TargetPhase.HEALTHY);
  }

  private handleFailure(err: DriverError): void {
    if (err.kind === DriverErrorKind.NOT_SENT) {
      this.setPhase(TargetPhase.DOWN);
      return;
    }
    this.failures++;
    if (this.failures < PROBE_FAILURES_ALLOWED) return;
    this.setPhase(TargetPhase.UNRESPONSIVE);
  }

  private setPhase(phase: TargetPhase): void {
    const {board, logger} = this.options;
    if (board.phase.get() === phase) return;
    logger.info('target phase', {from: board.phase.get(), to: phase});
    board.phase.set(phase);
  }
}
