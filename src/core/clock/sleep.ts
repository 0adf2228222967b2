import type {Clock} from './types.js';

/**
 * Resolves after `delayMs` milliseconds.
 *
 * @example
 * await sleep(clock, 50);
 */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule({delayMs, run: resolve});
  });
}
