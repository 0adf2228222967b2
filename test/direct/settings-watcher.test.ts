import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {DirectSettings} from '../../src/core/settings/direct-settings.js';
import {Supervisor} from '../../src/core/supervision/index.js';
import {SettingsWatcher} from '../../src/direct/settings-watcher.js';

describe('SettingsWatcher', () => {
  let folder: string;
  let path: string;
  let applied: string[];
  let isBroken: boolean;
  let clock: ManualClock;
  let watcher: SettingsWatcher;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'plantainrill-settings-'));
    path = join(folder, 'boot.yaml');
    applied = [];
    isBroken = false;
    writeFileSync(path, 'one');
    clock = new ManualClock();
    watcher = new SettingsWatcher({
      path,
      text: 'one',
      parse: (text) =>
        text === 'bad' ? err('bad') : ok({vm: text} as DirectSettings),
      onSettings: ({vm}) => {
        isBroken = vm === 'broken';
        if (isBroken) throw new Error('cannot be applied');
        applied.push(vm);
      },
      clock,
      logger: SILENT_LOGGER,
      supervisor: new Supervisor({
        clock,
        metrics: new Metrics(),
        logger: SILENT_LOGGER,
      }),
    });
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  it.each([
    {name: 'the same text', texts: ['one'], expected: []},
    {name: 'another text', texts: ['two'], expected: ['two']},
    {name: 'an invalid file', texts: ['bad'], expected: []},
    {name: 'a corrected file', texts: ['bad', 'two'], expected: ['two']},
  ])('applies $expected from $name', async ({texts, expected}) => {
    for (const text of texts) {
      writeFileSync(path, text);
      await watcher.readAgain();
    }
    expect(applied).toEqual(expected);
  });

  // Guards against a change that comes between the load and the first check.
  it.each([
    {name: 'the text that was loaded', text: 'one', expected: []},
    {name: 'another text', text: 'two', expected: ['two']},
  ])('applies $expected from $name at its start', async ({text, expected}) => {
    writeFileSync(path, text);
    watcher.start();
    await watcher.readAgain();
    expect(applied).toEqual(expected);
  });

  // Guards against an older text that is applied after a newer one.
  it('reads once more for all checks during a read', async () => {
    writeFileSync(path, 'two');
    for (let i = 0; i < 100; i++) watcher.check();
    writeFileSync(path, 'three');
    watcher.check();
    await vi.waitFor(() => expect(applied.at(-1)).toBe('three'));
    expect(applied.length).toBeLessThanOrEqual(2);
  });

  it('goes on after settings that cannot be applied', async () => {
    writeFileSync(path, 'broken');
    watcher.check();
    await vi.waitFor(() => expect(isBroken).toBe(true));
    writeFileSync(path, 'two');
    await watcher.readAgain();
    expect(applied).toEqual(['two']);
  });

  it('keeps the active settings while the file is missing', async () => {
    rmSync(path);
    await watcher.readAgain();
    expect(applied).toEqual([]);
  });
});
