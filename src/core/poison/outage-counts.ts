/** Counts the data-centre outages in which each request lost a target. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';

/** Maximum interval between two losses in the same outage, in milliseconds. */
const SAME_OUTAGE_MS = 2_000;

/** Maximum requests; the oldest are dropped first. */
const MAX_REQUESTS = 4_096;

/** The outages of one request. */
interface Outages {
  readonly count: number;
  /** When the last loss in an outage was recorded. */
  readonly lastMs: number;
}

/**
 * Counts outages by request; losses that follow each other closely belong to
 * one outage.
 *
 * @example
 * outages.add(request);
 * outages.countOf(request); // 1
 */
export class OutageCounts {
  private readonly outages = new Map<string, Outages>();

  constructor(private readonly options: {clock: Clock}) {}

  get isEmpty(): boolean {
    return this.outages.size === 0;
  }

  countOf(request: string): number {
    return this.outages.get(request)?.count ?? 0;
  }

  /** Records the loss of a target in an outage. */
  add(request: string): void {
    const lastMs = this.options.clock.now();
    const earlier = this.outages.get(request);
    const isSameOutage =
      earlier !== undefined && lastMs - earlier.lastMs <= SAME_OUTAGE_MS;
    const count = (earlier?.count ?? 0) + (isSameOutage ? 0 : 1);
    this.outages.delete(request);
    this.outages.set(request, {count, lastMs});
    dropOldest({entries: this.outages, maxSize: MAX_REQUESTS});
  }

  remove(request: string): void {
    this.outages.delete(request);
  }
}
