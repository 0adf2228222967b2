/** Recent numbers of an entry's requests at a target, by time. */

interface CountChange {
  readonly atMs: number;
  readonly count: number;
}

/**
 * Keeps the recent counts of own requests, so that a delayed report can be
 * corrected by the requests that began or ended since it was taken.
 *
 * @example
 * counts.record({nowMs: 10, count: 3});
 * counts.countAt(12); // 3
 */
export class CountHistory {
  private changes: CountChange[] = [];

  constructor(private readonly options: {retentionMs: number}) {}

  record(options: {nowMs: number; count: number}): void {
    const {nowMs, count} = options;
    const oldestMs = nowMs - this.options.retentionMs;
    // Keeps the last change before the retention time, whose count still
    // applied at its start.
    while ((this.changes[1]?.atMs ?? nowMs + 1) <= oldestMs) {
      this.changes.shift();
    }
    this.changes.push({atMs: nowMs, count});
  }

  /** The count at a time; 0 before the first change. */
  countAt(atMs: number): number {
    return this.changes.findLast((c) => c.atMs <= atMs)?.count ?? 0;
  }
}
