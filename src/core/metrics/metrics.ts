import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

import {RefusalReason, RetryReason} from '../errors/refusals.js';
import {
  HISTOGRAM_DIGITS,
  HISTOGRAM_MAX_US,
  METRIC_PREFIX,
  PERCENT,
  QUANTILES,
  US_PER_MS,
} from './consts.js';
import {CounterName, LatencyName} from './types.js';

const SECONDS_PER_US = 1e-6;

/**
 * The counters, gauges and histograms of a process.
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

  /** Creates every counter and histogram with the value 0. */
  constructor() {
    for (const reason of Object.values(RefusalReason)) {
      this.refusals.inc({reason}, 0);
    }
    for (const reason of Object.values(RetryReason)) {
      this.retries.inc({reason}, 0);
    }
    for (const name of Object.values(CounterName)) {
      this.counters.set(name, this.createCounter(name, ['label']));
    }
    for (const name of Object.values(LatencyName)) {
      this.histograms.set(name, createHistogram());
    }
  }

  countRefusal(reason: RefusalReason): void {
    this.refusals.inc({reason});
  }

  countRetry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /** Increments a counter, optionally under a label. */
  count(name: CounterName, options: {label?: string; by?: number} = {}): void {
    const {label = '', by = 1} = options;
    this.counters.get(name)?.inc({label}, by);
  }

  /** Initializes labels of a counter with 0 before they first occur. */
  declareLabels(options: {name: CounterName; labels: readonly string[]}): void {
    const {name, labels} = options;
    for (const label of labels) this.count(name, {label, by: 0});
  }

  /** Sets a gauge, which is created when it is first set. */
  setGauge(options: {name: string; value: number}): void {
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
    const boundedUs = Math.min(Math.max(us, 1), HISTOGRAM_MAX_US);
    this.histograms.get(options.name)?.recordValue(boundedUs);
  }

  /** All metrics in the Prometheus text format. */
  async render(): Promise<string> {
    const counters = await this.registry.metrics();
    const summaries = [...this.histograms].map(renderSummary);
    return counters + '\n' + summaries.join('');
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

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HISTOGRAM_MAX_US,
    numberOfSignificantValueDigits: HISTOGRAM_DIGITS,
  });
}

function renderSummary([name, histogram]: [LatencyName, Histogram]): string {
  const fullName = METRIC_PREFIX + name;
  const count = histogram.totalCount;
  const lines = QUANTILES.map((quantile) => {
    const us = histogram.getValueAtPercentile(quantile * PERCENT);
    // Quantiles of an empty histogram are undefined.
    const value = count === 0 ? Number.NaN : us * SECONDS_PER_US;
    return `${fullName}{quantile="${quantile}"} ${value}\n`;
  });
  const sum = count === 0 ? 0 : histogram.mean * count * SECONDS_PER_US;
  const head = `# HELP ${fullName} ${fullName}\n# TYPE ${fullName} summary\n`;
  return `${head}${lines.join('')}${fullName}_sum ${sum}\n${fullName}_count ${count}\n`;
}
