/** Collects samples and computes their quantiles. */
import {build} from 'hdr-histogram-js';

import type {CaseResult} from './types.js';

/** The histogram counts whole steps of a thousandth of the unit. */
const STEPS_PER_UNIT = 1_000;
/** Maximum of the histogram: one hour if the unit is milliseconds. */
const MAX_STEPS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/**
 * Samples of one quantity, with a resolution of a thousandth of its unit.
 *
 * @example
 * const gaps = new Samples({name: 'token gap', unit: 'ms'});
 * gaps.add(51.2);
 */
export class Samples {
  private readonly histogram = build({
    highestTrackableValue: MAX_STEPS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  constructor(private readonly options: {name: string; unit: string}) {}

  get count(): number {
    return this.histogram.totalCount;
  }

  /** Adds a sample. Values outside the range count as 0 or as the maximum. */
  add(value: number): void {
    const steps = Math.round(Math.max(value, 0) * STEPS_PER_UNIT);
    this.histogram.recordValue(Math.min(steps, MAX_STEPS));
  }

  /** Returns the value below which `percent` percent of the samples lie. */
  percentile(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / STEPS_PER_UNIT;
  }

  /** Returns the number of samples and their quantiles. */
  result(): CaseResult {
    return {
      ...this.options,
      n: this.count,
      p50: this.percentile(50),
      p95: this.percentile(95),
      p99: this.percentile(99),
      max: this.percentile(100),
    };
  }
}
