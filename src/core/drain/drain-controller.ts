import type {Cell} from '../blackboard/index.js';
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logs/index.js';
import {DRAIN_POLL_MS} from './consts.js';
import {mayExit} from './may-exit.js';
import type {DrainLimits, DrainState, DrainWork} from './types.js';

/**
 * Takes a process through its planned stop: sets `leaving`, from which moment
 * new work is refused, and calls `onDrained` once it may end.
 *
 * @example
 * process.on('SIGTERM', () => drain.begin());
 */
export class DrainController {
  private beganAtMs = 0;
  private busyAtMs = 0;

  constructor(
    private readonly options: {
      draining: Cell<boolean>;
      clock: Clock;
      logger: Logger;
      limits: DrainLimits;
      work: DrainWork;
      onDrained: () => void;
    },
  ) {}

  /** Begins to leave; does nothing when that has begun. */
  begin(): void {
    const {draining: leaving, clock, logger} = this.options;
    if (leaving.get()) return;
    this.beganAtMs = clock.now();
    this.busyAtMs = this.beganAtMs;
    logger.info('leaving');
    leaving.set(true);
    this.check();
  }

  private check(): void {
    const {clock, logger, limits, onDrained} = this.options;
    if (mayExit(this.readState(), limits)) {
      logger.info('drained');
      onDrained();
      return;
    }
    clock.schedule({delayMs: DRAIN_POLL_MS, run: () => this.check()});
  }

  private readState(): DrainState {
    const {clock, work} = this.options;
    const nowMs = clock.now();
    const running = work.countRunning();
    if (running > 0) this.busyAtMs = nowMs;
    return {
      drainingForMs: nowMs - this.beganAtMs,
      idleForMs: nowMs - this.busyAtMs,
      running,
      unsentBytes: work.countUnsentBytes(),
      pendingPeers: work.countPendingPeers(),
    };
  }
}
