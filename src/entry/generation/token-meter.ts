/** Measures the gaps between the tokens of one answer. */
import type {Clock} from '../../core/clock/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';

/** Counts tokens and observes their latencies. */
export class TokenMeter {
  private lastTokenAtMs: number;
  private resuming = false;
  private any = false;

  constructor(private readonly options: {clock: Clock; metrics: Metrics}) {
    this.lastTokenAtMs = options.clock.now();
  }

  /** The next token follows a loss. */
  noteLoss(): void {
    this.resuming = true;
  }

  noteTokens(count: number): void {
    const {clock, metrics} = this.options;
    const nowMs = clock.now();
    metrics.count(CounterName.TOKENS_RELAYED, {by: count});
    metrics.observe({name: this.latencyName(), ms: nowMs - this.lastTokenAtMs});
    this.lastTokenAtMs = nowMs;
    this.resuming = false;
    this.any = true;
  }

  private latencyName(): LatencyName {
    if (!this.any) return LatencyName.FIRST_TOKEN;
    return this.resuming ? LatencyName.RESUME : LatencyName.TOKEN_GAP;
  }
}
