/** Lets calls run up to a capacity, and none while it is shut. */

/** The calls of one service. */
export class ConcurrencyLimiter {
  private waiting: Array<() => void> = [];
  private isShut = false;
  private runningCount = 0;

  constructor(private readonly capacity: number) {}

  get running(): number {
    return this.runningCount;
  }

  /** Waits for a free place and runs the call in it. */
  async run<T>(call: () => Promise<T>): Promise<T> {
    await this.enter();
    try {
      return await call();
    } finally {
      this.runningCount -= 1;
      this.release();
    }
  }

  setPaused(isShut: boolean): void {
    this.isShut = isShut;
    this.release();
  }

  private enter(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.release();
    });
  }

  private release(): void {
    while (!this.isShut && this.runningCount < this.capacity) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.runningCount += 1;
      next();
    }
  }
}
