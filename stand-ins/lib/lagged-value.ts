/** A value that is read with a fixed delay. */
import {performance} from 'node:perf_hooks';

interface Sample<T> {
  readonly atMs: number;
  readonly value: T;
}

/** Returns the value that was current `lagMs` ago. */
export class LaggedValue<T> {
  private samples: Sample<T>[];

  constructor(
    private readonly lagMs: number,
    initial: T,
  ) {
    this.samples = [{atMs: -Infinity, value: initial}];
  }

  set(value: T): void {
    this.samples.push({atMs: performance.now(), value});
    this.prune();
  }

  get(): T {
    this.prune();
    return (this.samples[0] as Sample<T>).value;
  }

  private prune(): void {
    const visibleUntil = performance.now() - this.lagMs;
    const index = this.samples.findLastIndex((s) => s.atMs <= visibleUntil);
    if (index > 0) this.samples.splice(0, index);
  }
}
