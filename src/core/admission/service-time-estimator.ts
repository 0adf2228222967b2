/** How long a service's requests hold their slots, as observed. */
import {
  CONSERVATIVE_DEVIATIONS,
  SAMPLE_WEIGHT,
  SHORTEST_HALF_LIFE_MS,
  SHORTEST_RISE,
} from './consts.js';

/** One request that has ended. */
export interface ServiceTimeSample {
  readonly heldMs: number;
  /** Size of the request: tokens asked for, or 1. */
  readonly size: number;
  readonly nowMs: number;
}

/**
 * Estimates times from the requests that ended, in proportion to their size.
 * All estimates are 0 before the first sample.
 *
 * @example
 * const times = new ServiceTime();
 * times.add({heldMs: 500, size: 10, nowMs: 0});
 * times.typicalMs(20); // 1000
 */
export class ServiceTimeEstimator {
  private samples = 0;
  private meanMs = 0;
  private meanSize = 1;
  private deviation = 0;
  private shortest = 0;
  private shortestAtMs = 0;

  add(sample: ServiceTimeSample): void {
    const {heldMs, size, nowMs} = sample;
    this.samples++;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    this.meanMs += weight * (heldMs - this.meanMs);
    this.meanSize += weight * (size - this.meanSize);
    const ratio = heldMs / size;
    const off = Math.abs(ratio - this.perUnit());
    this.deviation += weight * (off - this.deviation);
    this.noteShortest(ratio, nowMs);
  }

  /** Time that a request holds its slot on average. */
  meanHeldMs(): number {
    return this.meanMs;
  }

  /** Time that a request of this size can be expected to take. */
  expectedMs(size: number): number {
    return this.perUnit() * size;
  }

  /** Time that a request of this size seldom exceeds. */
  conservativeMs(size: number): number {
    return (this.perUnit() + CONSERVATIVE_DEVIATIONS * this.deviation) * size;
  }

  /**
   * Time that no recent request of this size has undercut. It shrinks while
   * nothing ends, so that a service that recovers is tried again.
   */
  shortestMs(options: {size: number; nowMs: number}): number {
    return this.decayedShortest(options.nowMs) * options.size;
  }

  private perUnit(): number {
    return this.samples === 0 ? 0 : this.meanMs / this.meanSize;
  }

  private noteShortest(ratio: number, nowMs: number): void {
    const known = this.decayedShortest(nowMs);
    // A little way up, so that slow requests do not rule out quick ones.
    const raised = known + (ratio - known) * SHORTEST_RISE;
    const first = this.samples === 1;
    this.shortest = first || ratio < known ? ratio : Math.min(ratio, raised);
    this.shortestAtMs = nowMs;
  }

  private decayedShortest(nowMs: number): number {
    const silentMs = nowMs - this.shortestAtMs;
    const halvings = silentMs / SHORTEST_HALF_LIFE_MS - 1;
    return this.shortest * 2 ** -Math.max(0, halvings);
  }
}
