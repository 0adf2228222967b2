/** Measures the gaps between the tokens of one generation. */
import type {Clock} from '../../core/clock/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';

/** Counts tokens and observes their latencies. */
export class TokenMeter {
  private lastTokenAtMs: number;
  private lostAtMs: number | undefined;
  private placedAtMs = 0;
  private hasTokens = false;

  constructor(private readonly options: {clock: Clock; metrics: Metrics}) {
    this.lastTokenAtMs = options.clock.now();
  }

  /**
   * Records that the attempt was lost, or that a hedged attempt was started
   * because it is silent. The first of several losses counts.
   */
  recordLoss(): void {
    this.lostAtMs ??= this.options.clock.now();
  }

  /** Records that an attempt was sent to a target; the last one counts. */
  recordPlacement(): void {
    this.placedAtMs = this.options.clock.now();
  }

  recordTokens(count: number): void {
    const {clock, metrics} = this.options;
    const nowMs = clock.now();
    metrics.count(CounterName.TOKENS_RELAYED, {by: count});
    metrics.observe({name: this.latencyName(), ms: nowMs - this.lastTokenAtMs});
    if (this.hasTokens && this.lostAtMs !== undefined) {
      this.observeResume(this.lostAtMs, nowMs);
    }
    this.lastTokenAtMs = nowMs;
    this.lostAtMs = undefined;
    this.hasTokens = true;
  }

  private observeResume(lostAtMs: number, nowMs: number): void {
    const {metrics} = this.options;
    // A hedged attempt may have been sent before the loss was detected.
    const placedAtMs = Math.max(lostAtMs, this.placedAtMs);
    metrics.observe({
      name: LatencyName.RESUME_DETECTION,
      ms: lostAtMs - this.lastTokenAtMs,
    });
    metrics.observe({
      name: LatencyName.RESUME_PLACEMENT,
      ms: placedAtMs - lostAtMs,
    });
    metrics.observe({
      name: LatencyName.RESUME_FIRST_TOKEN,
      ms: nowMs - placedAtMs,
    });
  }

  private latencyName(): LatencyName {
    if (!this.hasTokens) return LatencyName.FIRST_TOKEN;
    return this.lostAtMs === undefined
      ? LatencyName.TOKEN_GAP
      : LatencyName.RESUME;
  }
}
