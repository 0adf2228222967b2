/** Decides whether the cached keys of client accounts may still be accepted. */
import type {Clock} from '../clock/index.js';

/**
 * Share of the revocation bound for which cached keys are accepted; the rest is
 * a safety margin.
 */
const TRUSTED_SHARE = 0.96;

/**
 * Difference between the progress of the monotonic clock and of the time of
 * day, in milliseconds, beyond which the machine was suspended or its time of
 * day was set.
 */
const CLOCK_TOLERANCE_MS = 150;

/**
 * Resolution of the monotonic clock, in milliseconds. A call that starts in the
 * same tick in which a suspension ends is not trusted.
 */
const CLOCK_RESOLUTION_MS = 1;

/** Confirmation by the store that the configuration was current. */
export interface Confirmation {
  /** When it was current, on the monotonic clock. */
  readonly atMs: number;
  /** When the call that confirmed it started, on the monotonic clock. */
  readonly startedMs: number;
}

/**
 * Tracks whether cached keys of client accounts may still be accepted. Keys may
 * be revoked at any time, so cached keys are accepted only for a bounded time
 * after the store last confirmed the configuration. The monotonic clock does
 * not advance while the machine is suspended, so its progress is compared with
 * the time of day: if they differ, a new confirmation is needed.
 *
 * @example
 * const trust = new KeyTrust({clock, boundMs: 5_000});
 * trust.confirm({atMs, startedMs});
 * trust.isTrusted();
 */
export class KeyTrust {
  private confirmedMs = Number.NEGATIVE_INFINITY;
  /** Calls that started before this time confirm nothing. */
  private rejectBeforeMs = Number.NEGATIVE_INFINITY;
  /** Time of day minus monotonic time, at the last confirmation or jump. */
  private wallOffsetMs: number;
  private boundMs?: number;

  constructor(
    private readonly options: {
      clock: Clock;
      /**
       * Time within which a revoked key must be refused; undefined for no bound.
       */
      boundMs?: number;
      /** Called when a new confirmation is needed. */
      onDistrusted?: () => void;
    },
  ) {
    this.boundMs = options.boundMs;
    this.wallOffsetMs = this.currentOffset();
  }

  setBound(boundMs: number | undefined): void {
    this.boundMs = boundMs;
  }

  /**
   * Records that the configuration was current at `atMs`, as confirmed by a
   * call that started at `startedMs`. A call that started before a suspension
   * is ignored, since the time that has passed since then is unknown.
   */
  confirm({atMs, startedMs}: Confirmation): void {
    if (this.hasClockJumped()) this.distrust();
    if (startedMs < this.rejectBeforeMs) return;
    this.wallOffsetMs = this.currentOffset();
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Milliseconds since the last confirmation. */
  ageMs(): number {
    return this.options.clock.now() - this.confirmedMs;
  }

  isTrusted(): boolean {
    const {boundMs} = this;
    if (boundMs === undefined) return true;
    if (this.hasClockJumped()) this.distrust();
    return this.ageMs() <= boundMs * TRUSTED_SHARE;
  }

  private distrust(): void {
    this.wallOffsetMs = this.currentOffset();
    this.confirmedMs = Number.NEGATIVE_INFINITY;
    this.rejectBeforeMs = this.options.clock.now() + CLOCK_RESOLUTION_MS;
    this.options.onDistrusted?.();
  }

  private hasClockJumped(): boolean {
    const driftMs = Math.abs(this.currentOffset() - this.wallOffsetMs);
    return driftMs > CLOCK_TOLERANCE_MS;
  }

  private currentOffset(): number {
    const {clock} = this.options;
    return clock.wallNow() - clock.now();
  }
}
