/** Collects samples and computes their quantiles. */
import {build} from 'hdr-histogram-js';

import type {CaseResult} from './types.js';

const SCALE = 1_000;
const HIGHEST = 3_600_000_000;
const DIGITS = 3;

/**
 * Samples of one quantity, with a resolution of a thousandth of its unit.
 *
 * @example
 * const gaps = new Samples({name: 'token gap', unit: 'ms'});
 * gaps.add(51.2);
 */
export class Samples {
  private readonly histogram = build({
    highestTrackableValue: HIGHEST,
    numberOfSignificantValueDigits: DIGITS,
  });

  constructor(private readonly options: {name: string; unit: string}) {}

  get count(): number {
    return this.histogram.totalCount;
  }

  add(value: number): void {
    const scaled = Math.round(Math.max(value, 0) * SCALE);
    this.histogram.recordValue(Math.min(scaled, HIGHEST));
  }

  /** Returns the value below which `percent` of the samples lie. */
  percentile(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / SCALE;
  }

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
