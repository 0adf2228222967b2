/** Detects that the target of a stream has stalled. */
import type {TimerHandle} from '../../core/clock/index.js';
import {stallTimeoutMs, probeDelayMs} from '../../core/streams/index.js';
import type {Target} from '../../core/targets/index.js';
import {
  PREFILL_CHECK_MS,
  QUICK_PREFILL_CHECKS,
  REQUEST_ARRIVAL_MS,
  SLOW_PREFILL_CHECK_MS,
} from '../consts.js';
import type {RequestContext} from '../context.js';

/** Factor by which the widest gap decays with each further gap. */
const GAP_DECAY = 0.98;

/**
 * Successive reports without a request from which its response counts as lost,
 * as one report may be older than assumed.
 */
const REPORTS_WITHOUT_REQUEST = 2;

/**
 * Called once, when the target counts as lost; `silentMs` is the time since its
 * last event.
 */
export type StallListener = (silentMs: number) => void;

/**
 * Watches one target of a stream. Until the first event the target is probed at
 * intervals, and counts as lost if it fails or no longer holds the request: the
 * request has run, and its response was lost. After the first event, the target
 * is probed when a gap between events is unusually long, and counts as lost if
 * the probe fails or the gap lasts. A target that still holds the request is
 * given longer, above all if no copy of the KV cache could be used elsewhere.
 *
 * @example
 * const hasCopy = () => true;
 * const detector = new StallDetector({ctx, target, attemptId, hasCopy, onStalled});
 * detector.start(400);
 * detector.recordEvent();
 */
export class StallDetector {
  private eventCount = 0;
  private lastEventMs: number;
  private widestGapMs = 0;
  private timer?: TimerHandle;
  private isOver = false;
  private isSuspended = false;
  private reportsWithoutRequest = 0;
  private prefillChecks = 0;
  private readonly startedMs: number;

  constructor(
    private readonly options: {
      ctx: RequestContext;
      target: Target;
      attemptId: string;
      /** Whether the caller has received events of an earlier attempt. */
      isResumed: boolean;
      /** Longest allowed pause between events, in milliseconds. */
      maxPauseMs?: number;
      /** Whether another target may resume from a copy of the KV cache. */
      hasCopy: () => boolean;
      onStalled: StallListener;
    },
  ) {
    this.startedMs = options.ctx.clock.now();
    this.lastEventMs = this.startedMs;
  }

  /** Starts to watch; the target is first probed after `firstCheckMs`. */
  start(firstCheckMs: number): void {
    const {boundary} = this.options.ctx;
    this.schedule(firstCheckMs, () => boundary.run(() => this.checkPrefill()));
  }

  recordEvent(): void {
    const nowMs = this.options.ctx.clock.now();
    if (this.eventCount > 0) this.recordGap(nowMs - this.lastEventMs);
    this.eventCount++;
    this.lastEventMs = nowMs;
    if (this.eventCount === 1) this.watchSilence();
  }

  /** Stops to watch while nothing is read from the target. */
  suspend(): void {
    this.isSuspended = true;
    this.timer?.cancel();
  }

  /** Watches again, from now on. */
  resume(): void {
    if (!this.isSuspended) return;
    this.isSuspended = false;
    this.lastEventMs = this.options.ctx.clock.now();
    if (this.eventCount > 0) this.watchSilence();
  }

  stop(): void {
    this.isOver = true;
    this.timer?.cancel();
  }

  private recordGap(gapMs: number): void {
    this.options.target.recordEventGap(gapMs);
    this.widestGapMs = Math.max(this.widestGapMs * GAP_DECAY, gapMs);
  }

  private async checkPrefill(): Promise<void> {
    const isAlive = await this.probeTarget();
    if (this.isOver || this.eventCount > 0) return;
    this.prefillChecks++;
    if (isAlive && this.holdsRequest()) this.start(this.nextCheckMs());
    else this.reportStall();
  }

  /** A pause within a stream ends soon; a first event may take seconds. */
  private nextCheckMs(): number {
    const {isResumed} = this.options;
    const isUrgent = isResumed || this.reportsWithoutRequest > 0;
    const isQuick = isUrgent || this.prefillChecks < QUICK_PREFILL_CHECKS;
    return isQuick ? PREFILL_CHECK_MS : SLOW_PREFILL_CHECK_MS;
  }

  /** Whether the target may still prefill the prompt, by its last reports. */
  private holdsRequest(): boolean {
    const {target, attemptId} = this.options;
    const sinceMs = this.startedMs + REQUEST_ARRIVAL_MS;
    const isMissing = target.isMissingRequest(attemptId, sinceMs);
    this.reportsWithoutRequest = isMissing ? this.reportsWithoutRequest + 1 : 0;
    return this.reportsWithoutRequest < REPORTS_WITHOUT_REQUEST;
  }

  /** Waits until the current gap is long enough for a probe. */
  private watchSilence(): void {
    const leftMs = probeDelayMs(this.timeoutOptions()) - this.silentMs();
    const {boundary} = this.options.ctx;
    if (leftMs <= 0) boundary.run(() => this.probeSilent());
    else this.schedule(leftMs, () => this.watchSilence());
  }

  private async probeSilent(): Promise<void> {
    const {eventCount: eventsBefore} = this;
    const isAlive = await this.probeTarget();
    if (this.isOver || this.isSuspended) return;
    if (this.eventCount > eventsBefore) this.watchSilence();
    else if (isAlive) this.watchStall(eventsBefore);
    else this.reportStall();
  }

  /** The target responds to probes but sends no events. */
  private watchStall(eventsBefore: number): void {
    const leftMs = this.stallTimeoutMs() - this.silentMs();
    const {boundary} = this.options.ctx;
    if (this.eventCount > eventsBefore) this.watchSilence();
    else if (leftMs <= 0) this.reportStall();
    else if (leftMs <= PREFILL_CHECK_MS)
      this.schedule(leftMs, () => this.watchStall(eventsBefore));
    else
      this.schedule(PREFILL_CHECK_MS, () =>
        boundary.run(() => this.probeSilent()),
      );
  }

  private stallTimeoutMs(): number {
    const {target, attemptId, hasCopy} = this.options;
    const isMissing = target.isMissingRequest(attemptId, this.lastEventMs);
    return stallTimeoutMs({
      ...this.timeoutOptions(),
      holdsRequest: !isMissing,
      hasCopy: hasCopy(),
    });
  }

  private probeTarget(): Promise<boolean> {
    const {ctx, target} = this.options;
    return ctx.prober.isAlive(target);
  }

  private reportStall(): void {
    const silentMs = Math.round(this.silentMs());
    this.stop();
    this.options.target.recordFailure();
    this.options.onStalled(silentMs);
  }

  private schedule(delayMs: number, run: () => void): void {
    this.timer?.cancel();
    this.timer = this.options.ctx.clock.schedule({
      delayMs,
      run: () => {
        if (!this.isOver) run();
      },
    });
  }

  private silentMs(): number {
    return this.options.ctx.clock.now() - this.lastEventMs;
  }

  private timeoutOptions() {
    const {maxPauseMs} = this.options;
    return {maxPauseMs, widestGapMs: this.widestGapMs};
  }
}
