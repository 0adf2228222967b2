/** Counts executions by key. */

/** Number of executions of a key. */
export interface KeyCount {
  readonly key: string;
  readonly count: number;
}

/** Counts executions per idempotency key. */
export class ExecutionCounter {
  private readonly counts = new Map<string, number>();

  /** Executions of each key. */
  get perKey(): KeyCount[] {
    return [...this.counts].map(([key, count]) => ({key, count}));
  }

  /** Records an execution and returns the number of executions of the key. */
  add(key: string): number {
    const count = (this.counts.get(key) ?? 0) + 1;
    this.counts.set(key, count);
    return count;
  }
}
