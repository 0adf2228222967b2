/**
 * A process that starts while its settings file is being written must wait for
 * the complete file instead of exiting with bad settings.
 */
import {err, ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {
  READ_TIMEOUT_MS,
  readWithRetry,
} from '../../src/daemon/read-with-retry.js';

const STEP_MS = 50;

describe('readWithRetry', () => {
  async function readUntilValid(validAtMs: number) {
    const clock = new ManualClock();
    const read = () =>
      clock.now() >= validAtMs ? ok('settings') : err('incomplete file');
    let isDone = false;
    const settings = readWithRetry({read, clock}).finally(() => {
      isDone = true;
    });
    while (!isDone) {
      clock.advance(STEP_MS);
      // Lets pending promise callbacks run.
      await Promise.resolve();
      await new Promise(setImmediate);
    }
    return {settings: await settings, tookMs: clock.now()};
  }

  it.each([
    {name: 'returns valid settings at once', validAtMs: 0, isOk: true},
    {name: 'waits until settings are valid', validAtMs: 2_000, isOk: true},
    {
      name: 'returns the error of settings that are invalid at the timeout',
      validAtMs: READ_TIMEOUT_MS * 10,
      isOk: false,
    },
  ])('$name', async ({validAtMs, isOk}) => {
    const {settings, tookMs} = await readUntilValid(validAtMs);
    expect(settings.isOk()).toBe(isOk);
    expect(tookMs).toBeLessThan(READ_TIMEOUT_MS * 2);
  });
});
