/** Whether the known keys may still be relied on. */
import type {Clock} from '../clock/index.js';

/** Part of the time to a revocation's bound for which keys are relied on. */
const TRUSTED_SHARE = 0.96;

/** Difference between two clocks' progress that shows a stop or a step. */
const CLOCK_TOLERANCE_MS = 150;

/** A call that starts in the same tick as a suspension ends is not trusted. */
const CLOCK_RESOLUTION_MS = 1;

/** Proof that the configuration was current. */
export interface Confirmation {
  /** When it was current, on the monotonic clock. */
  readonly atMs: number;
  /** When the call that tells of it started. */
  readonly startedMs: number;
}

/**
 * Keys may be taken away at any time. They are relied on for a bounded time
 * after the store last confirmed the configuration. A machine that was
 * suspended does not count that time on its monotonic clock, so progress of
 * the time of day is compared too: where they differ, a new confirmation is
 * needed.
 *
 * @example
 * const trust = new KeyTrust({clock, boundMs: 5_000});
 * trust.confirm({atMs, startedMs});
 * trust.isSound();
 */
export class KeyTrust {
  private confirmedMs = Number.NEGATIVE_INFINITY;
  /** Calls that started earlier prove nothing. */
  private rejectBeforeMs = Number.NEGATIVE_INFINITY;
  private wallOffsetMs: number;
  private boundMs?: number;

  constructor(
    private readonly options: {
      clock: Clock;
      /** Undefined where keys are never taken away at once. */
      boundMs?: number;
      /** A new confirmation is needed. */
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
   * The configuration was current at a time on the monotonic clock, as the
   * answer to a call that started earlier says. A call from before a
   * suspension proves nothing: how long ago it was is not known.
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
