/** Reads settings whose file may still be incomplete when a process starts. */
import type {Result} from 'neverthrow';

import type {Clock} from '../core/clock/index.js';
import {sleep} from '../core/clock/index.js';

/**
 * Longest time to wait for valid settings, in milliseconds. The platform writes
 * the file anew at each start, so a file that stays invalid is no better for a
 * longer wait; a process that ends by itself, though, counts as a failure.
 */
export const READ_TIMEOUT_MS = 60_000;

/** Time between two reads of the settings, in milliseconds. */
const RETRY_INTERVAL_MS = 200;

/** Failed reads of which one is reported. */
const READS_PER_REPORT = 5;

/**
 * Reads the settings until they are valid; returns the last error if they are
 * still invalid after READ_TIMEOUT_MS.
 *
 * @example
 * const settings = await readWithRetry({read, clock, onInvalid});
 */
export async function readWithRetry<T>(options: {
  read: () => Result<T, string>;
  clock: Clock;
  /** Called with the error about once a second. */
  onInvalid: (detail: string) => void;
}): Promise<Result<T, string>> {
  const {read, clock, onInvalid} = options;
  const deadlineMs = clock.now() + READ_TIMEOUT_MS;
  for (let reads = 0; ; reads++) {
    const settings = read();
    if (settings.isOk() || clock.now() >= deadlineMs) return settings;
    if (reads % READS_PER_REPORT === 0) onInvalid(settings.error);
    await sleep(clock, RETRY_INTERVAL_MS);
  }
}
