/** Reads settings that may be half written when the process starts. */
import type {Result} from 'neverthrow';

import type {Clock} from '../core/clock/index.js';

/** Time in which a file may be written to its end, in milliseconds. */
export const READ_TIMEOUT_MS = 6_000;

const RETRY_INTERVAL_MS = 200;

/**
 * Reads until the settings are sound, or still wrong after some seconds.
 *
 * @example
 * const settings = await readPatiently({read, clock});
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
