import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {err, ok} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {DirectSettings} from '../../src/core/settings/direct-settings.js';
import {SettingsWatcher} from '../../src/direct/settings-watcher.js';
import {silentSupervisor} from '../support/supervisor.js';

describe('SettingsWatcher', () => {
  let folder: string;
  let path: string;
  let applied: string[];
  let watcher: SettingsWatcher;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'plantainrill-settings-'));
    path = join(folder, 'boot.yaml');
    applied = [];
    writeFileSync(path, 'one');
    watcher = new SettingsWatcher({
      path,
      parse: (text) =>
        text === 'bad' ? err('bad') : ok({vm: text} as DirectSettings),
      onSettings: ({vm}) => applied.push(vm),
      clock: new ManualClock(),
      supervisor: silentSupervisor(),
      logger: SILENT_LOGGER,
    });
    await watcher.check();
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
      await watcher.check();
    }
    expect(applied).toEqual(expected);
  });

  it('keeps the active settings while the file is missing', async () => {
    rmSync(path);
    await watcher.check();
    expect(applied).toEqual([]);
  });
});
