import type {Clock} from '../core/clock/index.js';

/** Resolves after `delayMs`. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule({delayMs, run: resolve});
  });
}
