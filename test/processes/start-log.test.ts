/** A direct entry that cannot serve yet says what it waits for. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore, StoreMode} from '../../stand-ins/site/store.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.4.60';

const NOT_READY = '"message":"not ready"';
const READY = '"message":"ready"';

/** Time for which the entry waits, in milliseconds. */
const WAIT_MS = 8_000;

/** Lines in WAIT_MS, as their distance doubles from a second on. */
const MIN_LINES = 2;
const MAX_LINES = 4;

const CASES = [
  {what: 'resets each call', mode: StoreMode.RESET, isEmpty: false},
  {what: 'never answers', mode: StoreMode.SILENT, isEmpty: false},
  {what: 'is busy', mode: StoreMode.BUSY, isEmpty: false},
  {what: 'has no configuration', mode: StoreMode.UP, isEmpty: true},
];

describe('a direct entry whose store', () => {
  let store: StandInStore;
  let folder: ProgramFolder;
  let program: StartingProgram;

  const putConfig = () =>
    store.put({
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig({version: 1}),
    });

  beforeEach(async () => {
    store = new StandInStore();
    folder = new ProgramFolder();
    await store.start();
    const file = bootFile({
      ...{name: 'entry-1', address: ADDRESS, zone: 'a'},
      store: new URL(store.url).host,
      bounds: {grace_s: 2},
    });
    folder.write('boot.json', JSON.stringify(file));
  });

  afterEach(async () => {
    await program.kill();
    await store.stop();
    folder.remove();
  });

  it.each(CASES)('$what says what it waits for', async ({mode, isEmpty}) => {
    store.mode = mode;
    if (!isEmpty) putConfig();
    const env = {[SETTINGS_PATH_VARIABLE]: folder.path('boot.json')};
    const argv = ['dist/src/daemon/direct-main.js'];
    program = new StartingProgram({folder, argv, env});
    await program.untilLogged('"message":"started"');
    await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
    const lines = program.countLines(NOT_READY);
    expect(lines, program.output).toBeGreaterThanOrEqual(MIN_LINES);
    expect(lines).toBeLessThanOrEqual(MAX_LINES);
    expect(program.countLines('"waitsFor":"configuration')).toBe(lines);
    store.mode = StoreMode.UP;
    if (isEmpty) putConfig();
    await program.untilLogged(READY);
    expect(program.countLines(READY)).toBe(1);
  });
});
