/** Estimates how often a target sends an event of a stream. */
import {EVENT_GAP_GROWTH, EVENT_GAP_SAMPLES} from './consts.js';

/**
 * The shortest recent mean time between two events. It grows a little with each
 * new mean, so that it rises when the target slows down.
 *
 * @example
 * const gap = new EventGap();
 * gap.record(40);
 * gap.shortestMs; // undefined until there were enough events
 */
export class EventGap {
  private sumMs = 0;
  private count = 0;

  constructor(
    /** The estimate of an earlier incarnation, in milliseconds. */
    private shortestMeanMs?: number,
  ) {}

  /** Records the time between two events of a stream, in milliseconds. */
  record(gapMs: number): void {
    this.sumMs += gapMs;
    this.count++;
    if (this.count < EVENT_GAP_SAMPLES) return;
    const meanMs = this.sumMs / this.count;
    this.sumMs = 0;
    this.count = 0;
    const grownMs =
      (this.shortestMeanMs ?? Number.POSITIVE_INFINITY) * EVENT_GAP_GROWTH;
    this.shortestMeanMs = Math.min(grownMs, meanMs);
  }

  /** Shortest recent mean, in milliseconds; undefined if unknown. */
  get shortestMs(): number | undefined {
    return this.shortestMeanMs;
  }
}
