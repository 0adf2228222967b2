/** A changing figure of a target, known from its load reports only. */
import {USUAL_WEIGHT} from './consts.js';

/**
 * Estimates a figure between two reports. The last report loses half of its
 * weight every `halfLifeMs`; what takes its place is the decaying mean of all
 * reports. A target that was slow for a moment is thus soon used as before,
 * while one that is always slower stays so.
 *
 * @example
 * const slowness = new AgeingEstimate({usual: 1, halfLifeMs: 300});
 * slowness.record(2.5);
 * slowness.at(0); // 2.5
 */
export class AgeingEstimate {
  private last: number;
  private usual: number;
  private readonly halfLifeMs: number;

  constructor(options: {
    /** Assumed mean before the first report. */
    usual: number;
    /** Time in which a report loses half of its weight, in milliseconds. */
    halfLifeMs: number;
  }) {
    this.last = options.usual;
    this.usual = options.usual;
    this.halfLifeMs = options.halfLifeMs;
  }

  /** Records the figure of a report. */
  record(value: number): void {
    this.last = value;
    this.usual += (value - this.usual) * USUAL_WEIGHT;
  }

  /** The figure at a time after the last report. */
  at(reportAgeMs: number): number {
    const weight = 2 ** (-reportAgeMs / this.halfLifeMs);
    return this.usual + (this.last - this.usual) * weight;
  }
}
