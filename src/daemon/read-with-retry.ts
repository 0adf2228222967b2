/** Reads settings whose file may still be incomplete when a process starts. */
import type {Result} from 'neverthrow';

import type {Clock} from '../core/clock/index.js';

/** Longest time to wait for valid settings, in milliseconds. */
export const READ_TIMEOUT_MS = 6_000;

/** Time between two reads of the settings, in milliseconds. */
const RETRY_INTERVAL_MS = 200;

/**
 * Reads the settings until they are valid; returns the last error if they are
 * still invalid after READ_TIMEOUT_MS.
 *
 * @example
 * const settings = await readWithRetry({read, clock});
 */
export async function readWithRetry<T>(options: {
  read: () => Result<T, string>;
  clock: Clock;
}): Promise<Result<T, string>> {
  const {read, clock} = options;
  const deadlineMs = clock.now() + READ_TIMEOUT_MS;
  for (;;) {
    const settings = read();
    if (settings.isOk() || clock.now() >= deadlineMs) return settings;
    await new Promise<void>((resolve) => {
      clock.schedule({delayMs: RETRY_INTERVAL_MS, run: resolve});
    });
  }
}
