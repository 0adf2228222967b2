/** Counts executions by key. */

/** How often a key ran. */
export interface KeyCount {
  readonly key: string;
  readonly count: number;
}

/** The executions that were counted. */
export class ExecutionCounter {
  private readonly counts = new Map<string, number>();

  /** Executions by key. */
  get perKey(): KeyCount[] {
    return [...this.counts].map(([key, count]) => ({key, count}));
  }

  /** Counts one execution and returns its number. */
  add(key: string): number {
    const count = (this.counts.get(key) ?? 0) + 1;
    this.counts.set(key, count);
    return count;
  }
}
