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
    const reports: string[] = [];
    const onInvalid = (detail: string) => reports.push(detail);
    const settings = readWithRetry({read, clock, onInvalid}).finally(() => {
      isDone = true;
    });
    while (!isDone) {
      clock.advance(STEP_MS);
      // Lets pending promise callbacks run.
      await Promise.resolve();
      await new Promise(setImmediate);
    }
    return {settings: await settings, tookMs: clock.now(), reports};
  }

  it.each([
    {validAtMs: 0, expected: 0},
    {validAtMs: 2_500, expected: 3},
    {validAtMs: 10_500, expected: 11},
  ])(
    'reports the error once a second until $validAtMs ms',
    async ({validAtMs, expected}) => {
      const {reports} = await readUntilValid(validAtMs);
      expect(reports).toEqual(Array(expected).fill('incomplete file'));
    },
  );

  it.each([
    {name: 'returns valid settings at once', validAtMs: 0, isOk: true},
    {name: 'waits until settings are valid', validAtMs: 2_000, isOk: true},
    {name: 'waits for settings that come late', validAtMs: 20_000, isOk: true},
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
