/** Measures the gaps between the tokens of one answer. */
import type {Clock} from '../../core/clock/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';

/** Counts tokens and observes their latencies. */
export class TokenMeter {
  private lastTokenAtMs: number;
  private lostAtMs: number | undefined;
  private placedAtMs = 0;
  private any = false;

  constructor(private readonly options: {clock: Clock; metrics: Metrics}) {
    this.lastTokenAtMs = options.clock.now();
  }

  /** The next token follows a loss; the first of several losses counts. */
  recordLoss(): void {
    this.lostAtMs ??= this.options.clock.now();
  }

  /** A target was asked for the next token; the last one asked counts. */
  recordPlacement(): void {
    this.placedAtMs = this.options.clock.now();
  }

  recordTokens(count: number): void {
    const {clock, metrics} = this.options;
    const nowMs = clock.now();
    metrics.count(CounterName.TOKENS_RELAYED, {by: count});
    metrics.observe({name: this.latencyName(), ms: nowMs - this.lastTokenAtMs});
    if (this.any && this.lostAtMs !== undefined) {
      this.observeResume(this.lostAtMs, nowMs);
    }
    this.lastTokenAtMs = nowMs;
    this.lostAtMs = undefined;
    this.any = true;
  }

  private observeResume(lostAtMs: number, nowMs: number): void {
    const {metrics} = this.options;
    // A second attempt may have been placed before the loss was noticed.
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
    if (!this.any) return LatencyName.FIRST_TOKEN;
    return this.lostAtMs === undefined
      ? LatencyName.TOKEN_GAP
      : LatencyName.RESUME;
  }
}
