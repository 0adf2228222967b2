/** Which requests a process takes between the begin and the end of its stop. */
import type {Clock} from '../core/clock/index.js';
import {OperationKind} from '../core/routes/index.js';
import {
  BALANCER_NOTICE_SHARE,
  LAST_ANSWERS_MS,
  MIN_STREAM_GRACE_SHARE,
} from './consts.js';

/**
 * The time of a planned stop, at whose end the process is killed.
 *
 * @example
 * const grace = new GracePeriod({clock});
 * grace.begin(8_000);
 * if (!grace.hasTimeFor(OperationKind.UNSAFE, 1_500)) refuse();
 */
export class GracePeriod {
  private lengthMs = 0;
  private killAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: {clock: Clock}) {}

  /** Begins the period, in milliseconds. */
  begin(lengthMs: number): void {
    this.lengthMs = lengthMs;
    this.killAtMs = this.options.clock.now() + lengthMs;
  }

  /**
   * Whether enough time remains for new work that may take `limitMs`. Once the
   * load balancer has had time to react, a call needs all of that time.
   */
  hasTimeFor(operation: OperationKind, limitMs: number): boolean {
    const leftMs = this.killAtMs - this.options.clock.now();
    if (operation === OperationKind.STREAM)
      return leftMs >= this.lengthMs * MIN_STREAM_GRACE_SHARE;
    const isEarly = leftMs >= this.lengthMs * (1 - BALANCER_NOTICE_SHARE);
    return isEarly || leftMs - LAST_ANSWERS_MS >= limitMs;
  }
}
