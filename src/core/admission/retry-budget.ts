/** Bounds the retries of a service in proportion to its first attempts. */
import type {Clock} from '../clock/index.js';

/** Sliding window in which attempts are counted, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000;

/** Retries per window that are allowed even without first attempts. */
export const RETRY_FLOOR = 3;

/** Number of slices of the window; counts expire one slice at a time. */
const SLICES = 10;

const SLICE_MS = RETRY_WINDOW_MS / SLICES;

interface Slice {
  index: number;
  firstAttempts: number;
  retries: number;
}

/**
 * The retry budget of one service. In each window there are at most `ratio`
 * retries per first attempt plus the reserve, or the floor where that is
 * more.
 *
 * @example
 * const budget = new RetryBudget({clock, ratio: 0.1});
 * budget.recordFirstAttempt();
 * if (budget.tryTakeRetry()) retry();
 */
export class RetryBudget {
  private ratio: number;
  private slices: Slice[] = [];

  constructor(
    private readonly options: {
      clock: Clock;
      ratio: number;
      /** Retries in a window that are allowed even without first attempts. */
      floor?: number;
      /** Retries in a window in addition to those that the ratio allows. */
      reserve?: number;
    },
  ) {
    this.ratio = options.ratio;
  }

  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Counts the first attempt of a request. */
  recordFirstAttempt(): void {
    this.currentSlice().firstAttempts++;
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTakeRetry(): boolean {
    const slice = this.currentSlice();
    const firstAttempts = sumOf(this.slices, (s) => s.firstAttempts);
    const retries = sumOf(this.slices, (s) => s.retries);
    const floor = this.options.floor ?? RETRY_FLOOR;
    const byRatio = Math.floor(this.ratio * firstAttempts);
    const reserve = this.options.reserve ?? 0;
    const allowed = Math.max(floor, byRatio + reserve);
    if (retries >= allowed) return false;
    slice.retries++;
    return true;
  }

  private currentSlice(): Slice {
    const index = Math.floor(this.options.clock.now() / SLICE_MS);
    this.slices = this.slices.filter((s) => s.index > index - SLICES);
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const slice = {index, firstAttempts: 0, retries: 0};
    this.slices.push(slice);
    return slice;
  }
}

/**
 * The retry budgets of all services. All retries of a service share one budget,
 * regardless of their reason.
 *
 * @example
 * budgets.forService(service).recordFirstAttempt();
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly options: {clock: Clock; floor?: number; reserve?: number},
  ) {}

  forService(service: {
    readonly name: string;
    readonly retryRatio: number;
  }): RetryBudget {
    const {name, retryRatio: ratio} = service;
    let budget = this.budgets.get(name);
    if (budget === undefined) {
      budget = new RetryBudget({...this.options, ratio});
      this.budgets.set(name, budget);
    }
    budget.setRatio(ratio);
    return budget;
  }
}

function sumOf(
  slices: readonly Slice[],
  countOf: (slice: Slice) => number,
): number {
  return slices.reduce((sum, slice) => sum + countOf(slice), 0);
}
