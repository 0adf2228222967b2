/** Logs what an entry waits for until it is ready for the first time. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';

/** What an entry needs before it may be given connections. */
export enum Need {
  CONFIGURATION = 'configuration',
  TARGETS = 'targets',
  ROLLOUTS = 'rollouts',
  LOSSES = 'losses',
  KEY_CONFIRMATION = 'key_confirmation',
}

/** Interval at which the needs are looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Time until the first line and, at most, between two lines, in ms. */
const FIRST_LINE_MS = 1_000;
const MAX_DISTANCE_MS = 60_000;

/**
 * Writes a line when an entry becomes ready for the first time. Until then it
 * writes what the entry waits for, at distances that double.
 *
 * @example
 * const log = new ReadinessLog({clock, logger, supervisor, missing});
 * log.start();
 */
export class ReadinessLog {
  private timer?: TimerHandle;
  private startedMs = 0;
  private nextLineMs = FIRST_LINE_MS;

  constructor(
    private readonly options: {
      clock: Clock;
      logger: Logger;
      supervisor: Supervisor;
      /** What the entry still needs; empty if it is ready. */
      missing: () => readonly Need[];
    },
  ) {}

  start(): void {
    const {clock, supervisor} = this.options;
    this.startedMs = clock.now();
    this.timer = clock.repeat({
      periodMs: CHECK_INTERVAL_MS,
      run: supervisor.guard({name: TaskName.READINESS}, () => this.check()),
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private check(): void {
    const {clock, logger, missing} = this.options;
    const waitsFor = missing();
    const afterMs = Math.round(clock.now() - this.startedMs);
    if (waitsFor.length === 0) {
      logger.info('ready', {afterMs});
      this.stop();
      return;
    }
    if (afterMs < this.nextLineMs) return;
    logger.warn('not ready', {waitsFor: waitsFor.join(' '), afterMs});
    this.nextLineMs = afterMs + Math.min(afterMs, MAX_DISTANCE_MS);
  }
}
