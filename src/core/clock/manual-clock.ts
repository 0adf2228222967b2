import type {Clock, TimerHandle} from './types.js';

interface PendingTimer {
  dueMs: number;
  /** Number of timers created earlier; orders timers that are due together. */
  readonly order: number;
  readonly periodMs?: number;
  readonly run: () => void;
}

/**
 * A clock that advances only when `advance` is called.
 *
 * @example
 * const clock = new ManualClock();
 * clock.schedule({delayMs: 5, run: () => console.log('due')});
 * clock.advance(5);
 */
export class ManualClock implements Clock {
  private timeMs = 0;
  private nextOrder = 0;
  private readonly timers = new Set<PendingTimer>();

  now(): number {
    return this.timeMs;
  }

  wallNow(): number {
    return this.timeMs;
  }

  schedule(options: {delayMs: number; run: () => void}): TimerHandle {
    return this.add({delayMs: options.delayMs, run: options.run});
  }

  repeat(options: {periodMs: number; run: () => void}): TimerHandle {
    const {periodMs, run} = options;
    return this.add({delayMs: periodMs, periodMs, run});
  }

  /** Advances the time and runs each timer that becomes due, in order. */
  advance(byMs: number): void {
    const endMs = this.timeMs + byMs;
    for (;;) {
      const timer = this.earliest();
      if (timer === undefined || timer.dueMs > endMs) break;
      this.timeMs = Math.max(this.timeMs, timer.dueMs);
      this.fire(timer);
    }
    this.timeMs = endMs;
  }

  private add(options: {
    delayMs: number;
    periodMs?: number;
    run: () => void;
  }): TimerHandle {
    const timer: PendingTimer = {
      dueMs: this.timeMs + options.delayMs,
      order: this.nextOrder++,
      periodMs: options.periodMs,
      run: options.run,
    };
    this.timers.add(timer);
    return {cancel: () => void this.timers.delete(timer)};
  }

  private earliest(): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of this.timers) {
      if (first === undefined || isBefore(timer, first)) first = timer;
    }
    return first;
  }

  private fire(timer: PendingTimer): void {
    if (timer.periodMs === undefined) {
      this.timers.delete(timer);
    } else {
      timer.dueMs += timer.periodMs;
    }
    timer.run();
  }
}

function isBefore(a: PendingTimer, b: PendingTimer): boolean {
  return a.dueMs === b.dueMs ? a.order < b.order : a.dueMs < b.dueMs;
}
