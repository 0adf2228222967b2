import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

import type {RefusalReason, RetryReason} from '../errors/refusals.js';
import {
  HISTOGRAM_DIGITS,
  HISTOGRAM_MAX_US,
  METRIC_PREFIX,
  PERCENT,
  QUANTILES,
  US_PER_MS,
} from './consts.js';

import type {CounterName, LatencyName} from './types.js';

const SECONDS_PER_US = 1e-6;

/**
 * The counters and histograms of a process.
 *
 * @example
 * const metrics = new Metrics();
 * metrics.countRefusal(RefusalReason.OVERLOADED);
 */
export class Metrics {
  private readonly registry = new Registry();
  private readonly refusals = this.createCounter('refusals_total', ['reason']);
  private readonly retries = this.createCounter('retries_total', ['reason']);
  private readonly counters = new Map<CounterName, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<LatencyName, Histogram>();

  countRefusal(reason: RefusalReason): void {
    this.refusals.inc({reason});
  }

  countRetry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /** Adds to a counter, under a label where one is given. */
  count(name: CounterName, options: {label?: string; by?: number} = {}): void {
    const {label = '', by = 1} = options;
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = this.createCounter(name, ['label']);
      this.counters.set(name, counter);
    }
    counter.inc({label}, by);
  }

  /** Sets a gauge. */
  gauge(options: {name: string; value: number}): void {
    let gauge = this.gauges.get(options.name);
    if (gauge === undefined) {
      const name = METRIC_PREFIX + options.name;
      gauge = new Gauge({name, help: name, registers: [this.registry]});
      this.gauges.set(options.name, gauge);
    }
    gauge.set(options.value);
  }

  /** Records a latency in milliseconds. */
  observe(options: {name: LatencyName; ms: number}): void {
    const us = Math.round(options.ms * US_PER_MS);
    const bounded = Math.min(Math.max(us, 1), HISTOGRAM_MAX_US);
    this.histogram(options.name).recordValue(bounded);
  }

  /** All metrics in the Prometheus text format. */
  async render(): Promise<string> {
    const counters = await this.registry.metrics();
    const summaries = [...this.histograms].map(renderSummary);
    return counters + '\n' + summaries.join('');
  }

  private histogram(name: LatencyName): Histogram {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: HISTOGRAM_MAX_US,
        numberOfSignificantValueDigits: HISTOGRAM_DIGITS,
      });
      this.histograms.set(name, histogram);
    }
    return histogram;
  }

  private createCounter(suffix: string, labelNames: string[]): Counter {
    const name = METRIC_PREFIX + suffix;
    return new Counter({
      name,
      help: name,
      labelNames,
      registers: [this.registry],
    });
  }
}

function renderSummary([name, histogram]: [LatencyName, Histogram]): string {
  const full = METRIC_PREFIX + name;
  const lines = QUANTILES.map((quantile) => {
    const us = histogram.getValueAtPercentile(quantile * PERCENT);
    return `${full}{quantile="${quantile}"} ${us * SECONDS_PER_US}\n`;
  });
  const count = histogram.totalCount;
  const sum = histogram.mean * count * SECONDS_PER_US;
  const head = `# TYPE ${full} summary\n`;
  return `${head}${lines.join('')}${full}_sum ${sum}\n${full}_count ${count}\n`;
}
