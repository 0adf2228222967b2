/** Measures the rate at which requests leave a queue. */
import {DRAIN_RATE_DECAY_MS} from './consts.js';

/**
 * Measures the mean time between two departures from a queue, as a decaying
 * average. Periods in which the queue was empty do not count.
 *
 * @example
 * rate.recordWaiting(100);
 * rate.recordDeparture({nowMs: 120, stillWaiting: true});
 * rate.intervalMs(120); // 20
 */
export class DrainRate {
  private busyMs = 0;
  private departures = 0;
  private lastDepartureAtMs = 0;
  /**
   * Time of the last departure or, if later, of the first arrival at the empty
   * queue; undefined while the queue is empty.
   */
  private intervalStartMs: number | undefined;

  /** Records that a request waits in the queue. */
  recordWaiting(nowMs: number): void {
    this.intervalStartMs ??= nowMs;
  }

  /** Records that a waiting request got a slot. */
  recordDeparture(options: {nowMs: number; stillWaiting: boolean}): void {
    const {nowMs, stillWaiting} = options;
    if (this.intervalStartMs === undefined) return;
    // A long interval is capped, so that its effect on the mean decays as fast
    // as that of many short ones.
    const elapsedMs = Math.min(
      nowMs - this.intervalStartMs,
      DRAIN_RATE_DECAY_MS,
    );
    this.lastDepartureAtMs = nowMs;
    const decay = Math.exp(-elapsedMs / DRAIN_RATE_DECAY_MS);
    this.busyMs = this.busyMs * decay + elapsedMs;
    this.departures = this.departures * decay + 1;
    this.intervalStartMs = stillWaiting ? nowMs : undefined;
  }

  /** Records that the last waiting request left without getting a slot. */
  recordEmpty(): void {
    this.intervalStartMs = undefined;
  }

  /**
   * Mean time between two departures, in milliseconds; 0 before the first one,
   * and while the queue is empty and the last one is no longer recent.
   */
  intervalMs(nowMs: number): number {
    const isQueueEmpty = this.intervalStartMs === undefined;
    if (isQueueEmpty && nowMs - this.lastDepartureAtMs > DRAIN_RATE_DECAY_MS)
      return 0;
    return this.departures === 0 ? 0 : this.busyMs / this.departures;
  }
}
