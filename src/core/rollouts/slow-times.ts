/** Tells slow responses by what the old version takes on the same route. */
import {
  KEPT_TIMES,
  MAX_ROUTES,
  MIN_KEPT_TIMES,
  SLOW_MARGIN_MS,
  USUAL_QUANTILE,
} from './consts.js';

/** The times of all routes, for a route of which too little is known. */
const ALL_ROUTES = '';

/**
 * Keeps the last times of the old version for each route.
 *
 * @example
 * const times = new SlowTimes({factor: 2.5});
 * times.record('/stock/', 12);
 * times.isSlow('/stock/', 80);
 */
export class SlowTimes {
  private readonly kept = new Map<string, number[]>();
  private readonly limits = new Map<string, number>();

  constructor(
    private readonly options: {
      factor: number;
      /** Added to the usual time, in its unit. */
      margin?: number;
    },
  ) {}

  /** Records a time of the old version. */
  record(route: string, time: number): void {
    this.keep(ALL_ROUTES, time);
    this.keep(route, time);
  }

  private keep(route: string, time: number): void {
    const times = this.kept.get(route) ?? [];
    if (times.length === 0 && this.kept.size >= MAX_ROUTES) return;
    times.push(time);
    if (times.length > KEPT_TIMES) times.shift();
    this.kept.set(route, times);
    this.limits.delete(route);
  }

  /** Whether a time is slow; undefined if too little is known. */
  isSlow(route: string, time: number): boolean | undefined {
    const limit = this.limitOf(route) ?? this.limitOf(ALL_ROUTES);
    return limit === undefined ? undefined : time > limit;
  }

  private limitOf(route: string): number | undefined {
    return this.limits.get(route) ?? this.computeLimit(route);
  }

  private computeLimit(route: string): number | undefined {
    const times = this.kept.get(route) ?? [];
    if (times.length < MIN_KEPT_TIMES) return undefined;
    const sorted = [...times].sort((a, b) => a - b);
    const usual = sorted[Math.floor(sorted.length * USUAL_QUANTILE)]!;
    const {factor, margin = SLOW_MARGIN_MS} = this.options;
    const limit = usual * factor + margin;
    this.limits.set(route, limit);
    return limit;
  }
}
