/** Limits concurrent calls; starts none while paused. */

/** Runs up to `capacity` calls at once and queues the rest in order. */
export class ConcurrencyLimiter {
  private waiting: Array<() => void> = [];
  private isPaused = false;
  private runningCount = 0;

  constructor(private readonly capacity: number) {}

  get running(): number {
    return this.runningCount;
  }

  /** Waits for a free slot and runs the call. */
  async run<T>(call: () => Promise<T>): Promise<T> {
    await this.acquire();
    try {
      return await call();
    } finally {
      this.runningCount -= 1;
      this.startWaiting();
    }
  }

  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    this.startWaiting();
  }

  private acquire(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.startWaiting();
    });
  }

  private startWaiting(): void {
    while (!this.isPaused && this.runningCount < this.capacity) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.runningCount += 1;
      next();
    }
  }
}
