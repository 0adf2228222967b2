/** Measures how much this process was kept from running. */
import type {Clock, TimerHandle} from '../clock/index.js';

/** Interval of the measurement, in milliseconds. */
const INTERVAL_MS = 20;

/**
 * Sums how late a short timer fires. A response that is read late because this
 * process was busy or was not run tells nothing of its target.
 *
 * @example
 * const delays = new ProcessDelays({clock});
 * delays.start();
 * const beforeMs = delays.totalMs;
 * const waitedMs = clock.now() - startedMs - (delays.totalMs - beforeMs);
 */
export class ProcessDelays {
  private sumMs = 0;
  private dueMs = 0;
  private timer?: TimerHandle;

  constructor(private readonly options: {clock: Clock}) {}

  start(): void {
    if (this.timer === undefined) this.schedule();
  }

  stop(): void {
    this.sumMs = this.totalMs;
    this.timer?.cancel();
    this.timer = undefined;
  }

  /** Delays since the first start, in milliseconds. */
  get totalMs(): number {
    if (this.timer === undefined) return this.sumMs;
    return this.sumMs + Math.max(0, this.options.clock.now() - this.dueMs);
  }

  private schedule(): void {
    const {clock} = this.options;
    this.dueMs = clock.now() + INTERVAL_MS;
    const run = () => {
      this.sumMs = this.totalMs;
      this.schedule();
    };
    this.timer = clock.schedule({delayMs: INTERVAL_MS, run});
  }
}
