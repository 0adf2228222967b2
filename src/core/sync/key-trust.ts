/** Decides whether the cached keys of client accounts may still be accepted. */
import type {Clock} from '../clock/index.js';
import {SuspensionDetector} from '../clock/index.js';

/**
 * Share of the revocation bound for which cached keys are accepted; the rest is
 * a safety margin.
 */
const TRUSTED_SHARE = 0.96;

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
  /** Reset at each confirmation and at each jump. */
  private readonly suspension: SuspensionDetector;
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
    this.suspension = new SuspensionDetector(options.clock);
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
    if (this.suspension.hasJumped()) this.distrust();
    if (startedMs < this.rejectBeforeMs) return;
    this.suspension.reset();
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Milliseconds since the last confirmation. */
  ageMs(): number {
    return this.options.clock.now() - this.confirmedMs;
  }

  isTrusted(): boolean {
    const {boundMs} = this;
    if (boundMs === undefined) return true;
    if (this.suspension.hasJumped()) this.distrust();
    return this.isRecent(boundMs);
  }

  /** What `isTrusted` would tell; changes nothing. */
  wouldTrust(): boolean {
    const {boundMs} = this;
    if (boundMs === undefined) return true;
    return !this.suspension.hasJumped() && this.isRecent(boundMs);
  }

  private isRecent(boundMs: number): boolean {
    return this.ageMs() <= boundMs * TRUSTED_SHARE;
  }

  private distrust(): void {
    this.suspension.reset();
    this.confirmedMs = Number.NEGATIVE_INFINITY;
    this.rejectBeforeMs = this.options.clock.now() + CLOCK_RESOLUTION_MS;
    this.options.onDistrusted?.();
  }
}
