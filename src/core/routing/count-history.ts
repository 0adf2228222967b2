/** What an entry's own count at a target was a report lag ago. */

interface CountChange {
  readonly atMs: number;
  readonly count: number;
}

/**
 * Remembers the recent counts of own requests, so that a lagged report can
 * be corrected by those that began or ended since it was taken.
 *
 * @example
 * counts.note({nowMs: 10, count: 3});
 * counts.countAt(12); // 3
 */
export class CountHistory {
  private changes: CountChange[] = [];

  constructor(private readonly options: {retentionMs: number}) {}

  record(options: {nowMs: number; count: number}): void {
    const {nowMs, count} = options;
    const oldestMs = nowMs - this.options.retentionMs;
    // The last change before the kept time still says what held then.
    while ((this.changes[1]?.atMs ?? nowMs + 1) <= oldestMs) {
      this.changes.shift();
    }
    this.changes.push({atMs: nowMs, count});
  }

  /** The count that held at a time; 0 before the first change. */
  countAt(atMs: number): number {
    return this.changes.findLast((c) => c.atMs <= atMs)?.count ?? 0;
  }
}
