/** Counts what happened lately. */
import type {Clock} from '../clock/index.js';
import {LIMIT_WINDOW_MS} from './consts.js';

const SLICES = 8;

const SLICE_MS = LIMIT_WINDOW_MS / SLICES;

/**
 * Counts events in a sliding window of `LIMIT_WINDOW_MS`, which moves in slices.
 *
 * @example
 * const sends = new RecentCount({clock});
 * sends.add();
 * sends.count(); // 1
 */
export class RecentCount {
  private readonly counts = new Array<number>(SLICES).fill(0);
  private lastSlice = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: {clock: Clock}) {}

  add(): void {
    this.advance();
    const index = indexOf(this.lastSlice);
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Events in the window. */
  count(): number {
    this.advance();
    return this.counts.reduce((sum, n) => sum + n, 0);
  }

  /** Clears the slices that have left the window. */
  private advance(): void {
    const slice = Math.floor(this.options.clock.now() / SLICE_MS);
    const expired = Math.min(SLICES, slice - this.lastSlice);
    for (let i = 0; i < expired; i++) this.counts[indexOf(slice - i)] = 0;
    this.lastSlice = Math.max(this.lastSlice, slice);
  }
}

/** Index of a slice, also of one before the begin of the clock. */
function indexOf(slice: number): number {
  return ((slice % SLICES) + SLICES) % SLICES;
}
