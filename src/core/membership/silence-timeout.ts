import {GAP_FACTOR, GAP_SAMPLES} from './consts.js';
import type {SuspicionBounds} from './types.js';

/**
 * Learns from the gaps between a peer's messages how long a silence is
 * unusual: a multiple of the longest gap of late, within bounds. Until a gap
 * is known the ceiling holds.
 *
 * @example
 * const threshold = new GapThreshold({floorMs: 600, ceilingMs: 1_500});
 * threshold.note(100);
 * threshold.allowedMs(); // 600
 */
export class SilenceTimeout {
  private readonly gaps: number[] = [];
  private next = 0;

  constructor(private bounds: SuspicionBounds) {}

  setBounds(bounds: SuspicionBounds): void {
    this.bounds = bounds;
  }

  /** Takes the time between two messages, in milliseconds. */
  recordGap(gapMs: number): void {
    this.gaps[this.next] = gapMs;
    this.next = (this.next + 1) % GAP_SAMPLES;
  }

  /** The longest silence that is not suspect, in milliseconds. */
  timeoutMs(): number {
    const {floorMs, ceilingMs} = this.bounds;
    if (this.gaps.length === 0) return ceilingMs;
    const longestMs = Math.max(...this.gaps);
    return Math.min(Math.max(longestMs * GAP_FACTOR, floorMs), ceilingMs);
  }
}
