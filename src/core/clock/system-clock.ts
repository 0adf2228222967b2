import {scheduleTimer} from './schedule-timer.js';
import type {Clock, TimerHandle} from './types.js';

/**
 * The clock and the timers of Node.js.
 *
 * @example
 * const timer = new SystemClock().schedule({delayMs: 5, run: poll});
 */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  schedule(options: {delayMs: number; run: () => void}): TimerHandle {
    return scheduleTimer(options);
  }

  repeat(options: {periodMs: number; run: () => void}): TimerHandle {
    const timer = setInterval(options.run, options.periodMs);
    return {cancel: () => clearInterval(timer)};
  }
}
