import type {Cell} from '../blackboard/index.js';
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logs/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import {DRAIN_POLL_MS, DRAIN_RESTART_MS} from './consts.js';
import {mayExit} from './may-exit.js';
import type {DrainLimits, DrainState, DrainWork} from './types.js';

/**
 * Controls the graceful shutdown of a process: sets `draining`, after which new
 * work is refused, and calls `onDrained` once the process may exit.
 *
 * @example
 * process.on('SIGTERM', () => drain.begin());
 */
export class DrainController {
  private startedAtMs = 0;
  private lastBusyAtMs = 0;

  constructor(
    private readonly options: {
      /** Set to true when the drain begins. */
      draining: Cell<boolean>;
      clock: Clock;
      logger: Logger;
      supervisor: Supervisor;
      limits: DrainLimits;
      work: DrainWork;
      /** Called when the process may exit; again only if it failed. */
      onDrained: () => void;
    },
  ) {}

  /** Begins to drain; does nothing if it has begun already. */
  begin(): void {
    const {draining, clock, logger} = this.options;
    if (draining.get()) return;
    this.startedAtMs = clock.now();
    this.lastBusyAtMs = this.startedAtMs;
    try {
      logger.info('draining');
      draining.set(true);
    } finally {
      this.check();
    }
  }

  /** A failed check is repeated, as the process would never exit otherwise. */
  private check(): void {
    const {supervisor} = this.options;
    const onFailure = () => this.checkLater(DRAIN_RESTART_MS);
    supervisor.run({name: TaskName.SHUTDOWN, onFailure}, () =>
      this.exitIfDone(),
    );
  }

  private checkLater(delayMs: number): void {
    this.options.clock.schedule({delayMs, run: () => this.check()});
  }

  private exitIfDone(): void {
    const {logger, limits, onDrained} = this.options;
    if (mayExit(this.readState(), limits)) {
      logger.info('drained');
      onDrained();
      return;
    }
    this.checkLater(DRAIN_POLL_MS);
  }

  private readState(): DrainState {
    const {clock, work} = this.options;
    const nowMs = clock.now();
    const running = work.countRunning();
    if (running > 0) this.lastBusyAtMs = nowMs;
    return {
      drainingForMs: nowMs - this.startedAtMs,
      idleForMs: nowMs - this.lastBusyAtMs,
      running,
      unsentBytes: work.countUnsentBytes(),
      pendingPeers: work.countPendingPeers(),
    };
  }
}
