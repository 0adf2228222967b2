/** Measures how soon waiting plain calls get their turn. */
import {TURN_WEIGHT} from './consts.js';

/**
 * The mean time between two turns of waiting calls. A turn that does not come
 * counts with the time for which it was waited for.
 *
 * @example
 * rate.recordWaiting(0);
 * rate.recordTurn(20);
 * rate.intervalMs(25); // 20
 * rate.intervalMs(90); // 70
 */
export class TurnRate {
  private meanMs?: number;
  /** The last turn, or when calls began to wait; undefined if none waits. */
  private sinceMs?: number;

  /** A call waits. */
  recordWaiting(nowMs: number): void {
    this.sinceMs ??= nowMs;
  }

  /** A call that waited is sent. */
  recordTurn(nowMs: number): void {
    if (this.sinceMs === undefined) return;
    const ms = nowMs - this.sinceMs;
    this.meanMs ??= ms;
    this.meanMs += (ms - this.meanMs) * TURN_WEIGHT;
    this.sinceMs = nowMs;
  }

  /** No call waits any more. */
  recordEmpty(): void {
    this.sinceMs = undefined;
  }

  /** Time until the next turn, in milliseconds. */
  intervalMs(nowMs: number): number {
    return Math.max(this.meanMs ?? 0, nowMs - (this.sinceMs ?? nowMs));
  }
}
