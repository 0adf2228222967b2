/** Shapes that every experiment shares. */

/** Quantiles of one measured quantity. */
export interface CaseResult {
  readonly name: string;
  readonly unit: string;
  readonly n: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** One figure over another, both of the same run. */
export interface RatioResult {
  readonly name: string;
  readonly value: number;
}

/** A target that the users state, beside what was measured. */
export interface BoundResult {
  readonly name: string;
  readonly stated: number;
  readonly measured: number;
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

/** A plot for the report; it is no part of the JSON. */
export interface Plot {
  /** Names its file. */
  readonly name: string;
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
}

/** What an experiment found. */
export interface ExperimentResult {
  readonly cases: readonly CaseResult[];
  readonly ratios: readonly RatioResult[];
  readonly bounds: readonly BoundResult[];
  readonly plots?: readonly Plot[];
}

/** Options of a run, beside the seed. */
export interface ExperimentFlags {
  /** The value of `--<name>`, or the fallback. */
  text(name: string, fallback: string): string;
  number(name: string, fallback: number): number;
}

/** One experiment; its file exports it under the name `experiment`. */
export interface Experiment {
  readonly name: string;
  /** What it measures, in a line. */
  readonly summary: string;
  /** Which processes it starts, and how long it takes. */
  readonly starts: string;
  /** Flags that it takes beside --seed and --json, a line each. */
  readonly flags: readonly string[];
  run(options: {
    seed: number;
    flags: ExperimentFlags;
  }): Promise<ExperimentResult>;
}
