import type {Clock} from './types.js';

/**
 * Difference between the progress of the monotonic clock and of the time of
 * day, in milliseconds, beyond which the machine was suspended or its time of
 * day was set.
 */
const CLOCK_TOLERANCE_MS = 150;

/**
 * Detects that the machine may have been suspended. The monotonic clock does not
 * advance in a suspension, so its progress is compared with the time of day.
 *
 * @example
 * const detector = new SuspensionDetector(clock);
 * if (detector.hasJumped()) detector.reset();
 */
export class SuspensionDetector {
  /** Time of day minus monotonic time, when it was last reset. */
  private wallOffsetMs: number;

  constructor(private readonly clock: Clock) {
    this.wallOffsetMs = this.currentOffset();
  }

  /** Whether the clocks have diverged since the last reset. */
  hasJumped(): boolean {
    const driftMs = Math.abs(this.currentOffset() - this.wallOffsetMs);
    return driftMs > CLOCK_TOLERANCE_MS;
  }

  reset(): void {
    this.wallOffsetMs = this.currentOffset();
  }

  private currentOffset(): number {
    return this.clock.wallNow() - this.clock.now();
  }
}
