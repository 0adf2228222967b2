import {GAP_FACTOR, GAP_SAMPLES} from './consts.js';
import type {SuspicionBounds} from './types.js';

/**
 * Adaptive failure detection: computes the time without a message after which
 * a peer is suspected, as a multiple of the longest recent gap between its
 * messages, within bounds. Until a gap is recorded, it is the upper bound.
 *
 * @example
 * const timeout = new SilenceTimeout({floorMs: 600, ceilingMs: 1_500});
 * timeout.recordGap(100);
 * timeout.timeoutMs(); // 600
 */
export class SilenceTimeout {
  /** The last `GAP_SAMPLES` gaps, as a ring buffer. */
  private readonly gaps: number[] = [];
  private nextIndex = 0;

  constructor(private bounds: SuspicionBounds) {}

  setBounds(bounds: SuspicionBounds): void {
    this.bounds = bounds;
  }

  /** Records the time between two messages, in milliseconds. */
  recordGap(gapMs: number): void {
    this.gaps[this.nextIndex] = gapMs;
    this.nextIndex = (this.nextIndex + 1) % GAP_SAMPLES;
  }

  /** Longest time without a message before the peer is suspected. */
  timeoutMs(): number {
    const {floorMs, ceilingMs} = this.bounds;
    if (this.gaps.length === 0) return ceilingMs;
    const longestMs = Math.max(...this.gaps);
    return Math.min(Math.max(longestMs * GAP_FACTOR, floorMs), ceilingMs);
  }
}
