/** A planned stop: no new connections, work ends, then the process. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';

/** Time in which the balancer notices, as a share of the grace. */
const BALANCER_NOTICE_SHARE = 0.33;

/** Time by which work ends before the forced end, in milliseconds. */
const KILL_MARGIN_MS = 300;

/** How often idle connections are closed and open work is counted. */
const CHECK_INTERVAL_MS = 50;

/** The listener for callers, as a stop needs it. */
export interface StoppableListener {
  readonly openRequests: number;
  closeIdle(): void;
  closeListener(): void;
  closeAll(): void;
}

/**
 * Ends a process without cutting off requests. Callers' connections end with
 * the answers that they wait for; idle ones are closed once the balancer
 * gives the process no more, and the process ends when nothing is open.
 *
 * @example
 * new PlannedStop({clock, logger, listener, graceMs, onStopped}).begin();
 */
export class GracefulShutdown {
  private startedMs = 0;
  private timer?: TimerHandle;
  private isListening = true;

  constructor(
    private readonly options: {
      clock: Clock;
      logger: Logger;
      listener: StoppableListener;
      /** Time until the process is killed. */
      graceMs: number;
      onStopped: () => void;
    },
  ) {}

  begin(): void {
    if (this.timer !== undefined) return;
    const {clock} = this.options;
    this.startedMs = clock.now();
    this.timer = clock.repeat({
      periodMs: CHECK_INTERVAL_MS,
      run: () => this.check(),
    });
  }

  private check(): void {
    const {clock, listener, graceMs} = this.options;
    const elapsedMs = clock.now() - this.startedMs;
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
    const {logger, listener, onStopped} = this.options;
    this.timer?.cancel();
    this.stopListening();
    logger.info('stopped', {unfinished: listener.openRequests});
    listener.closeAll();
    onStopped();
  }
}
