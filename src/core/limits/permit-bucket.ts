/** A token bucket whose rate changes. */
import type {Clock} from '../clock/index.js';
import {MAX_BURST, MAX_DEBT} from './consts.js';

const MS_PER_S = 1_000;

/**
 * A token bucket that holds at most `MAX_BURST` permits. Permits that are taken
 * without being there are made up for later.
 *
 * @example
 * const bucket = new PermitBucket({clock, permits: 1});
 * bucket.setRate(2.6);
 * if (bucket.isAvailable()) bucket.take();
 */
export class PermitBucket {
  private permits: number;
  private perSecond = 0;
  private updatedMs: number;

  constructor(private readonly options: {clock: Clock; permits: number}) {
    this.permits = options.permits;
    this.updatedMs = options.clock.now();
  }

  /** Sets how many permits are added in a second. */
  setRate(perSecond: number): void {
    this.update();
    this.perSecond = perSecond;
  }

  isAvailable(): boolean {
    this.update();
    return this.permits >= 1;
  }

  take(): void {
    this.update();
    this.permits = Math.max(-MAX_DEBT, this.permits - 1);
  }

  /**
   * Time until a permit is there after `ahead` others, in milliseconds; infinite
   * if the rate is 0.
   */
  waitMs(ahead: number): number {
    this.update();
    const missing = Math.max(0, 1 + ahead - this.permits);
    return missing === 0 ? 0 : (missing / this.perSecond) * MS_PER_S;
  }

  private update(): void {
    const nowMs = this.options.clock.now();
    const added = ((nowMs - this.updatedMs) / MS_PER_S) * this.perSecond;
    this.permits = Math.min(MAX_BURST, this.permits + added);
    this.updatedMs = nowMs;
  }
}
