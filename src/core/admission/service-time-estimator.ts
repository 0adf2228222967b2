/** Estimates how long the requests of a service occupy their slots. */
import {
  CONSERVATIVE_DEVIATIONS,
  SAMPLE_WEIGHT,
  SHORTEST_HALF_LIFE_MS,
  SHORTEST_RISE,
} from './consts.js';

/** Measured time of a request that has ended. */
export interface ServiceTimeSample {
  /** Time for which the request occupied its slot. */
  readonly heldMs: number;
  /** Requested tokens of a generation; 1 for a plain call. */
  readonly size: number;
  readonly nowMs: number;
}

/**
 * Estimates the time of a request in proportion to its size, from requests that
 * have ended. All estimates are 0 before the first sample.
 *
 * @example
 * const times = new ServiceTimeEstimator();
 * times.add({heldMs: 500, size: 10, nowMs: 0});
 * times.expectedMs(20); // 1000
 */
export class ServiceTimeEstimator {
  private samples = 0;
  private meanMs = 0;
  private meanSize = 1;
  /** Mean deviation from `meanPerUnit`, in milliseconds per unit of size. */
  private deviationPerUnit = 0;
  private shortestPerUnit = 0;
  private lastSampleAtMs = 0;

  add(sample: ServiceTimeSample): void {
    const {heldMs, size, nowMs} = sample;
    this.samples++;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    this.meanMs += weight * (heldMs - this.meanMs);
    this.meanSize += weight * (size - this.meanSize);
    const perUnit = heldMs / size;
    const error = Math.abs(perUnit - this.meanPerUnit());
    this.deviationPerUnit += weight * (error - this.deviationPerUnit);
    this.updateShortest(perUnit, nowMs);
  }

  /** Mean time for which a request occupies its slot, of any size. */
  meanHeldMs(): number {
    return this.meanMs;
  }

  /** Mean time for a request of this size. */
  expectedMs(size: number): number {
    return this.meanPerUnit() * size;
  }

  /** Time that a request of this size rarely exceeds. */
  conservativeMs(size: number): number {
    return (
      (this.meanPerUnit() + CONSERVATIVE_DEVIATIONS * this.deviationPerUnit) *
      size
    );
  }

  /**
   * Shortest time observed recently for a request of this size. It decays while
   * no request ends, so that a service that recovers gets requests again.
   */
  shortestMs(options: {size: number; nowMs: number}): number {
    return this.decayedShortest(options.nowMs) * options.size;
  }

  private meanPerUnit(): number {
    return this.samples === 0 ? 0 : this.meanMs / this.meanSize;
  }

  private updateShortest(perUnit: number, nowMs: number): void {
    const previous = this.decayedShortest(nowMs);
    // Rises slowly, so that a few slow requests do not cause quick ones to be
    // refused.
    const raised = previous + (perUnit - previous) * SHORTEST_RISE;
    const isFirstSample = this.samples === 1;
    this.shortestPerUnit =
      isFirstSample || perUnit < previous ? perUnit : Math.min(perUnit, raised);
    this.lastSampleAtMs = nowMs;
  }

  private decayedShortest(nowMs: number): number {
    const sampleAgeMs = nowMs - this.lastSampleAtMs;
    const halvings = sampleAgeMs / SHORTEST_HALF_LIFE_MS - 1;
    return this.shortestPerUnit * 2 ** -Math.max(0, halvings);
  }
}
