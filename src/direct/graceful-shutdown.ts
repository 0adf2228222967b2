/** Graceful shutdown: closes the listener, drains requests, then stops. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {BALANCER_NOTICE_SHARE, LAST_ANSWERS_MS} from './consts.js';

/** Time between the end of the drain and the kill, in milliseconds. */
const KILL_MARGIN_MS = 300;

/** Interval at which idle connections are closed, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** The methods of the callers' listener that a shutdown uses. */
export interface StoppableListener {
  readonly openRequests: number;
  closeIdle(): void;
  closeListener(): void;
  closeAll(): void;
}

/**
 * Stops a process without aborting requests. Connections of callers close
 * after their pending responses. Idle connections are closed once the load
 * balancer has stopped routing to the process. The process stops when no
 * request is open, or shortly before the grace period ends, after it has answered
 * the requests that it can.
 *
 * @example
 * const options = {clock, logger, listener, graceMs, answerOpen, onStopped};
 * new GracefulShutdown({...options, supervisor}).begin();
 */
export class GracefulShutdown {
  private startedMs = 0;
  private timer?: TimerHandle;
  private isListening = true;

  constructor(
    private readonly options: {
      clock: Clock;
      logger: Logger;
      supervisor: Supervisor;
      listener: StoppableListener;
      /** Time until the process is killed. */
      graceMs: number;
      /** Answers the requests that still run, shortly before the end. */
      answerOpen: () => void;
      onStopped: () => void;
    },
  ) {}

  begin(): void {
    if (this.timer !== undefined) return;
    const {clock, supervisor} = this.options;
    this.startedMs = clock.now();
    this.timer = clock.repeat({
      periodMs: CHECK_INTERVAL_MS,
      run: supervisor.guard({name: TaskName.SHUTDOWN}, () => this.check()),
    });
  }

  private check(): void {
    const {clock, listener, graceMs, answerOpen, supervisor} = this.options;
    const elapsedMs = clock.now() - this.startedMs;
    if (elapsedMs >= graceMs - LAST_ANSWERS_MS)
      supervisor.run({name: TaskName.SHUTDOWN}, answerOpen);
    if (elapsedMs >= graceMs - KILL_MARGIN_MS) {
      this.finish();
      return;
    }
    if (elapsedMs < graceMs * BALANCER_NOTICE_SHARE) return;
    listener.closeIdle();
    if (listener.openRequests > 0) return;
    this.stopListening();
    this.finish();
  }

  private stopListening(): void {
    if (!this.isListening) return;
    this.isListening = false;
    this.options.listener.closeListener();
  }

  private finish(): void {
    const {onStopped} = this.options;
    this.timer?.cancel();
    try {
      this.closeListener();
    } finally {
      onStopped();
    }
  }

  private closeListener(): void {
    const {logger, listener} = this.options;
    this.stopListening();
    logger.info('graceful shutdown finished', {
      unfinished: listener.openRequests,
    });
    listener.closeAll();
  }
}
