/** How long work takes at a target now, from its load reports. */
import {SLOWNESS_HALF_LIFE_MS, USUAL_SLOWNESS_WEIGHT} from './consts.js';

/**
 * Estimates the slowness of a target. A report tells it at one moment and loses
 * half of its weight every `SLOWNESS_HALF_LIFE_MS`; what remains is the mean of
 * the earlier reports. A target that was slow for a moment is thus soon used as
 * before, while one that is always slower stays so.
 *
 * @example
 * const slowness = new SlownessEstimate();
 * slowness.record(2.5);
 * slowness.estimate(0); // 2.5
 */
export class SlownessEstimate {
  private last?: number;
  /** Decaying mean of the reports. */
  private usual = 1;

  /** Records a slowness at its report: 1 is usual, 2 takes twice as long. */
  record(slowness: number): void {
    this.last = slowness;
    this.usual += (slowness - this.usual) * USUAL_SLOWNESS_WEIGHT;
  }

  /** Slowness at a time after the last report; 1 if none was reported. */
  estimate(reportAgeMs: number): number {
    if (this.last === undefined) return 1;
    const weight = 2 ** (-reportAgeMs / SLOWNESS_HALF_LIFE_MS);
    return this.usual + (this.last - this.usual) * weight;
  }
}
