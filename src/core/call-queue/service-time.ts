/** Measures how long calls of a service take at a target. */
import type {Target} from '../targets/index.js';
import {SERVICE_TIME_WEIGHT} from './consts.js';

/**
 * Mean service time of calls at a target of the usual speed with a free slot. A
 * response time is divided by the slowness that the target had and by what the
 * requests there lengthened it.
 *
 * @example
 * const time = new ServiceTime();
 * const scale = ServiceTime.scaleOf(target);
 * time.add({heldMs: 80, scale});
 */
export class ServiceTime {
  private mean?: number;

  /** How much longer than usual a call takes that is sent to a target now. */
  static scaleOf(target: Target): number {
    const {slots, slowness} = target;
    return slowness * Math.max(1, (target.expectedRequests() + 1) / slots);
  }

  add(sample: {heldMs: number; scale: number}): void {
    const ms = sample.heldMs / sample.scale;
    this.mean ??= ms;
    this.mean += (ms - this.mean) * SERVICE_TIME_WEIGHT;
  }

  /** Mean in milliseconds; undefined before the first call. */
  get meanMs(): number | undefined {
    return this.mean;
  }
}
