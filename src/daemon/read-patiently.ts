/** Reads settings that may be half written when the process starts. */
import type {Result} from 'neverthrow';

import type {Clock} from '../core/clock/index.js';

/** Time in which a file may be written to its end, in milliseconds. */
export const PATIENCE_MS = 6_000;

const PAUSE_MS = 200;

/**
 * Reads until the settings are sound, or still wrong after some seconds.
 *
 * @example
 * const settings = await readPatiently({read, clock});
 */
export async function readPatiently<T>(options: {
  read: () => Result<T, string>;
  clock: Clock;
}): Promise<Result<T, string>> {
  const {read, clock} = options;
  const endMs = clock.now() + PATIENCE_MS;
  for (;;) {
    const settings = read();
    if (settings.isOk() || clock.now() >= endMs) return settings;
    await new Promise<void>((resolve) => {
      clock.schedule({delayMs: PAUSE_MS, run: resolve});
    });
  }
}
