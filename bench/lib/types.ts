/** Types shared by all experiments. */

/** Quantiles of one measured quantity. */
export interface CaseResult {
  readonly name: string;
  readonly unit: string;
  /** Number of samples. */
  readonly n: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Ratio of two figures of the same run. */
export interface RatioResult {
  readonly name: string;
  readonly value: number;
}

/** A required bound and the measured value. */
export interface BoundResult {
  readonly name: string;
  readonly stated: number;
  readonly measured: number;
  /** Whether the measured value is within the bound. */
  readonly holds: boolean;
}

/** One point of a plot. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
}

/** One line of a plot. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly PlotPoint[];
}

/** A plot for the report page; not part of the JSON. */
export interface Plot {
  /** Part of the file name. */
  readonly name: string;
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
}

/** Result of an experiment. */
export interface ExperimentResult {
  readonly cases: readonly CaseResult[];
  readonly ratios: readonly RatioResult[];
  readonly bounds: readonly BoundResult[];
  readonly plots?: readonly Plot[];
}

/** Command-line flags of an experiment, apart from the seed. */
export interface ExperimentFlags {
  /** The value of `--<name>`, or the fallback. */
  text(name: string, fallback: string): string;
  /** The value of `--<name>` as a number, or the fallback. */
  number(name: string, fallback: number): number;
}

/** An experiment, exported as `experiment` by `index.ts` of its folder. */
export interface Experiment {
  readonly name: string;
  /** One-line summary of what it measures. */
  readonly summary: string;
  /** Processes that it starts and approximate duration. */
  readonly starts: string;
  /** Help lines of its flags apart from `--seed` and `--json`. */
  readonly flags: readonly string[];
  run(options: {
    seed: number;
    flags: ExperimentFlags;
  }): Promise<ExperimentResult>;
}
