/** Prefix of every metric's name. */
export const METRIC_PREFIX = 'plantainrill_';

/** Largest latency that a histogram records, in microseconds. */
export const HISTOGRAM_MAX_US = 3_600_000_000;

/** Significant digits of a histogram. */
export const HISTOGRAM_DIGITS = 2;

/** Quantiles of each histogram that /metrics reports. */
export const QUANTILES: readonly number[] = [0.5, 0.95, 0.99, 1];

export const US_PER_MS = 1_000;
export const PERCENT = 100;
