/** The permits of some entries for one target. */
import type {Clock} from '../clock/index.js';
import {Claims} from './claims.js';
import {MIN_PER_SECOND} from './consts.js';
import {PermitBucket} from './permit-bucket.js';
import type {HeardLimit, PermitAnswer, PermitQuery} from './types.js';
import {PermitNeed} from './types.js';

/**
 * Grants the permits for one target to the entries of a pool, whose shares of
 * the limit it has together.
 *
 * @example
 * const pool = new LimitPool({clock, permits: 1});
 * pool.hear(limit);
 * pool.request(query, (perSecond) => 0.25).isGranted;
 */
export class LimitPool {
  private readonly bucket: PermitBucket;
  private readonly claims: Claims;
  private newest: HeardLimit = {heardAtMs: Number.NEGATIVE_INFINITY};

  constructor(options: {clock: Clock; permits: number}) {
    this.bucket = new PermitBucket(options);
    this.claims = new Claims(options);
  }

  /** Records a limit, unless a newer one was heard. */
  hear(limit: HeardLimit): void {
    if (limit.heardAtMs > this.newest.heardAtMs) this.newest = limit;
  }

  /** Grants or refuses a permit; `shareOf` gives the pool's part of a limit. */
  request(
    query: PermitQuery,
    shareOf: (perSecond: number) => number,
  ): PermitAnswer {
    const {perSecond} = this.newest;
    if (perSecond === undefined) return this.grant();
    const boundedPerSecond = Math.max(perSecond, MIN_PER_SECOND);
    this.bucket.setRate(boundedPerSecond * shareOf(boundedPerSecond));
    switch (query.need) {
      case PermitNeed.NONE:
        return this.grant();
      case PermitNeed.FORCED:
        this.bucket.take();
        return this.grant();
      default:
        return this.grantInOrder(query);
    }
  }

  private grantInOrder(query: PermitQuery): PermitAnswer {
    const {bucket, claims} = this;
    const before = claims.countBefore(query);
    if (bucket.isAvailable() && before === 0) {
      bucket.take();
      claims.recordGranted(query);
      return this.grant();
    }
    const limit = this.newest;
    // It may ask again then, and gets the permit if nobody with a claim does.
    if (query.need !== PermitNeed.REQUIRED)
      return {isGranted: false, retryAfterMs: bucket.waitMs(before), limit};
    const retryAfterMs = bucket.waitMs(claims.countAhead(query));
    claims.add(query, retryAfterMs);
    return {isGranted: false, retryAfterMs, limit};
  }

  private grant(): PermitAnswer {
    return {isGranted: true, retryAfterMs: 0, limit: this.newest};
  }
}
