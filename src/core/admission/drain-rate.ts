/** How fast a queue drains, as observed while something waits in it. */
import {DRAIN_RATE_DECAY_MS} from './consts.js';

/**
 * Measures the time between two requests that leave a queue. Times without
 * any waiting request are left out, and old ones count ever less.
 *
 * @example
 * rate.noteWaiting(100);
 * rate.noteDeparture({nowMs: 120, stillWaiting: true});
 * rate.intervalMs(120); // 20
 */
export class DrainRate {
  private busyMs = 0;
  private departures = 0;
  private departedAtMs = 0;
  /** Last departure, or the time at which the queue began to fill. */
  private sinceMs: number | undefined;

  /** A request has begun to wait. */
  recordWaiting(nowMs: number): void {
    this.sinceMs ??= nowMs;
  }

  /** A request that waited has left for a slot. */
  recordDeparture(options: {nowMs: number; stillWaiting: boolean}): void {
    const {nowMs, stillWaiting} = options;
    if (this.sinceMs === undefined) return;
    // One long gap is forgotten as fast as many short ones.
    const tookMs = Math.min(nowMs - this.sinceMs, DRAIN_RATE_DECAY_MS);
    this.departedAtMs = nowMs;
    const kept = Math.exp(-tookMs / DRAIN_RATE_DECAY_MS);
    this.busyMs = this.busyMs * kept + tookMs;
    this.departures = this.departures * kept + 1;
    this.sinceMs = stillWaiting ? nowMs : undefined;
  }

  /** Nothing waits any more, though none has left for a slot. */
  recordEmpty(): void {
    this.sinceMs = undefined;
  }

  /** Time between two departures; 0 where there were none of late. */
  intervalMs(nowMs: number): number {
    const idle = this.sinceMs === undefined;
    if (idle && nowMs - this.departedAtMs > DRAIN_RATE_DECAY_MS) return 0;
    return this.departures === 0 ? 0 : this.busyMs / this.departures;
  }
}
