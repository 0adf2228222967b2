/** Whether the known keys may still be relied on. */
import type {Clock} from '../clock/index.js';

/** Part of the time to a revocation's bound for which keys are relied on. */
const TRUSTED_SHARE = 0.96;

/** Difference between two clocks' progress that shows a stop or a step. */
const CLOCK_TOLERANCE_MS = 150;

/**
 * Keys may be taken away at any time. They are relied on for a bounded time
 * after the store last confirmed the configuration. A machine that was
 * suspended does not count that time on its monotonic clock, so progress of
 * the time of day is compared too: where they differ, a new confirmation is
 * needed.
 *
 * @example
 * const trust = new KeyTrust({clock, boundMs: 5_000});
 * trust.confirm(clock.now());
 * trust.isSound();
 */
export class KeyTrust {
  private confirmedMs = Number.NEGATIVE_INFINITY;
  private wallOffsetMs: number;
  private boundMs?: number;

  constructor(
    private readonly options: {
      clock: Clock;
      /** Undefined where keys are never taken away at once. */
      boundMs?: number;
    },
  ) {
    this.boundMs = options.boundMs;
    this.wallOffsetMs = this.currentOffset();
  }

  setBound(boundMs: number | undefined): void {
    this.boundMs = boundMs;
  }

  /** The configuration was current at a time on the monotonic clock. */
  confirm(atMs: number): void {
    if (this.hasClockMoved()) {
      this.distrust();
      return;
    }
    this.wallOffsetMs = this.currentOffset();
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Milliseconds since the last confirmation. */
  ageMs(): number {
    return this.options.clock.now() - this.confirmedMs;
  }

  isSound(): boolean {
    const {boundMs} = this;
    if (boundMs === undefined) return true;
    if (this.hasClockMoved()) this.distrust();
    return this.ageMs() <= boundMs * TRUSTED_SHARE;
  }

  private distrust(): void {
    this.wallOffsetMs = this.currentOffset();
    this.confirmedMs = Number.NEGATIVE_INFINITY;
  }

  private hasClockMoved(): boolean {
    const movedMs = Math.abs(this.currentOffset() - this.wallOffsetMs);
    return movedMs > CLOCK_TOLERANCE_MS;
  }

  private currentOffset(): number {
    const {clock} = this.options;
    return clock.wallNow() - clock.now();
  }
}
