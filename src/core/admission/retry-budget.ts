/** Bounds how many retries a service's first tries may cause. */
import type {Clock} from '../clock/index.js';

/** Time over which tries are counted, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000;

/** Retries per window that are allowed however few first tries there are. */
export const RETRY_FLOOR = 3;

/** Slices of the window; the oldest slice is forgotten as a whole. */
const SLICES = 10;

const SLICE_MS = RETRY_WINDOW_MS / SLICES;

interface Slice {
  index: number;
  firstTries: number;
  retries: number;
}

/**
 * The retry budget of one service. In each window there are at most `ratio`
 * retries per first try, or the floor where that is more.
 *
 * @example
 * const budget = new RetryBudget({clock, ratio: 0.1});
 * budget.noteFirstTry();
 * if (budget.tryRetry()) sendAgain();
 */
export class RetryBudget {
  private ratio: number;
  private slices: Slice[] = [];

  constructor(
    private readonly options: {
      clock: Clock;
      ratio: number;
      /** Retries in a window however few first tries there are. */
      floor?: number;
      /** Retries in a window beyond those that the ratio allows. */
      reserve?: number;
    },
  ) {
    this.ratio = options.ratio;
  }

  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Counts a request that is sent for the first time. */
  recordFirstAttempt(): void {
    this.current().firstTries++;
  }

  /** Takes one retry out of the budget; false where none is left. */
  tryTakeRetry(): boolean {
    const slice = this.current();
    const firstTries = sumOf(this.slices, (s) => s.firstTries);
    const retries = sumOf(this.slices, (s) => s.retries);
    const floor = this.options.floor ?? RETRY_FLOOR;
    const byRatio = Math.floor(this.ratio * firstTries);
    const reserve = this.options.reserve ?? 0;
    const allowed = Math.max(floor, byRatio + reserve);
    if (retries >= allowed) return false;
    slice.retries++;
    return true;
  }

  private current(): Slice {
    const index = Math.floor(this.options.clock.now() / SLICE_MS);
    this.slices = this.slices.filter((s) => s.index > index - SLICES);
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const slice = {index, firstTries: 0, retries: 0};
    this.slices.push(slice);
    return slice;
  }
}

/**
 * The retry budgets of all services; every retry reason of a service draws
 * on the same one.
 *
 * @example
 * budgets.of(service).noteFirstTry();
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
  pick: (slice: Slice) => number,
): number {
  return slices.reduce((sum, slice) => sum + pick(slice), 0);
}
