/** Compares the times of an exchange with those of the old version. */
import {
  SLOW_FACTOR,
  SLOW_HEAD_FACTOR,
  SlowTimes,
} from '../../core/rollouts/index.js';

/** Times of one exchange, in milliseconds. */
export interface ExchangeTimes {
  readonly route: string;
  readonly isStream: boolean;
  /** From the send to the head; undefined if none has come. */
  readonly headMs?: number;
  /** From the send to the end. */
  readonly totalMs: number;
  /** Bytes of the body. */
  readonly bytes: number;
}

/**
 * Tells whether an exchange was several times slower than those of the old
 * version on its route. The head of a stream depends on cached prompts, so the
 * pace of its body counts first.
 *
 * @example
 * const timer = new ExchangeTimer();
 * timer.record(times);
 * timer.isSlow(other);
 */
export class ExchangeTimer {
  private readonly calls = new SlowTimes({factor: SLOW_FACTOR});
  private readonly heads = new SlowTimes({factor: SLOW_HEAD_FACTOR});
  /** In milliseconds for each byte. */
  private readonly paces = new SlowTimes({factor: SLOW_FACTOR, margin: 0});

  /** Records a complete exchange of the old version. */
  record(times: ExchangeTimes): void {
    const {route, isStream, headMs = times.totalMs, totalMs} = times;
    if (!isStream) {
      this.calls.record(route, totalMs);
      return;
    }
    this.heads.record(route, headMs);
    const pace = paceOf(times);
    if (pace !== undefined) this.paces.record(route, pace);
  }

  /** Whether an exchange was slow; undefined if too little is known. */
  isSlow(times: ExchangeTimes): boolean | undefined {
    const {route, isStream, headMs = times.totalMs, totalMs} = times;
    if (!isStream) return this.calls.isSlow(route, totalMs);
    const pace = paceOf(times);
    const isHeadSlow = this.heads.isSlow(route, headMs);
    const isPaceSlow =
      pace === undefined ? undefined : this.paces.isSlow(route, pace);
    if (isHeadSlow === undefined && isPaceSlow === undefined) return undefined;
    return isHeadSlow === true || isPaceSlow === true;
  }

  /**
   * Whether an exchange that was given up had already lasted too long; false if
   * too little is known.
   */
  wasSlow({route, totalMs, headMs}: ExchangeTimes): boolean {
    if (headMs !== undefined) return false;
    const asCall = this.calls.isSlow(route, totalMs);
    return asCall ?? this.heads.isSlow(route, totalMs) ?? false;
  }
}

function paceOf({headMs, totalMs, bytes}: ExchangeTimes): number | undefined {
  if (headMs === undefined || bytes === 0) return undefined;
  return (totalMs - headMs) / bytes;
}
