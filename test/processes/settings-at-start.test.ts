/** A direct entry whose settings are not yet right when it starts. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

const ENTRY = 'dist/src/daemon/direct-main.js';

/** First of the addresses on which nothing else listens, one for each row. */
const NET = '127.9.4';

/** Time after which the settings become right, in milliseconds. */
const LATE_MS = 8_000;

/** Time from the right settings until the entry serves, in milliseconds. */
const MAX_START_MS = 3_000;

/** Time until a process that waits has ended, in milliseconds. */
const MAX_STOP_MS = 500;

/** Lines about the wait in LATE_MS, at about one a second. */
const MIN_LINES = 4;
const MAX_LINES = 12;

const WAITING = 'waiting for valid settings';
const STARTED = '"message":"started"';

type BootFile = ReturnType<typeof bootFile>;

const LATE = [
  {what: 'missing', text: () => undefined},
  {what: 'empty', text: () => ''},
  {
    what: 'half written',
    text: (file: BootFile) => JSON.stringify(file).slice(0, 120),
  },
  {
    what: 'without a field',
    text: (file: BootFile) => JSON.stringify({...file, zone: undefined}),
  },
  {
    what: 'with a port out of range',
    text: (file: BootFile) => withCallers(file, `${file.ip}:70000`),
  },
  {
    what: 'with a port that is no number',
    text: (file: BootFile) => withCallers(file, `${file.ip}:http`),
  },
  {
    what: 'with a host that is no address',
    text: (file: BootFile) => withCallers(file, 'nowhere.invalid:8080'),
  },
  {
    what: 'with no port of the store',
    text: (file: BootFile) =>
      JSON.stringify({...file, platform: {address: 'store'}}),
  },
  {
    what: 'with a peer port out of range',
    text: (file: BootFile) => JSON.stringify({...file, port_range: [70_000]}),
  },
];

describe('a direct entry whose settings file is', () => {
  const store = new StandInStore();
  const folder = new ProgramFolder();
  const programs: StartingProgram[] = [];

  beforeAll(async () => {
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
  });

  afterAll(async () => {
    await Promise.all(programs.map((program) => program.kill()));
    await store.stop();
    folder.remove();
  });

  const fileOf = (row: number) =>
    bootFile({
      ...{name: `entry-${row}`, address: `${NET}.${row + 1}`, zone: 'a'},
      store: new URL(store.url).host,
      bounds: {grace_s: 2},
    });

  function start(path: string): StartingProgram {
    const env = {[SETTINGS_PATH_VARIABLE]: path};
    const program = new StartingProgram({folder, argv: [ENTRY], env});
    programs.push(program);
    return program;
  }

  // Guards against processes that end as their settings come late (FAULT).
  it.concurrent.each(LATE.map((entry, row) => ({...entry, row})))(
    '$what waits for the right one',
    async ({text, row}) => {
      const file = fileOf(row);
      const early = text(file);
      const path = folder.path(`boot-${row}.json`);
      if (early !== undefined) folder.write(`boot-${row}.json`, early);
      const program = start(path);
      await sleep(LATE_MS);
      expect(program.end ?? 'waits', program.errors).toBe('waits');
      const lines = program.countLines(WAITING);
      expect(lines).toBeGreaterThanOrEqual(MIN_LINES);
      expect(lines).toBeLessThanOrEqual(MAX_LINES);
      folder.write(`boot-${row}.json`, JSON.stringify(file));
      await program.untilLogged(STARTED, MAX_START_MS);
    },
  );

  it.concurrent.each([
    {what: 'missing', text: undefined},
    {what: 'half written', text: '{"node_name": "e'},
  ])('$what ends as planned by SIGTERM, at once', async ({what, text}) => {
    const path = folder.path(`stopped-${what}`);
    if (text !== undefined) folder.write(`stopped-${what}`, text);
    const program = start(path);
    await program.untilLogged(WAITING);
    const signalledMs = performance.now();
    program.signal('SIGTERM');
    expect(await program.ended()).toBe('status 0, signal null');
    expect(performance.now() - signalledMs).toBeLessThan(MAX_STOP_MS);
  });

  it('not named ends with one line', async () => {
    const program = start('');
    expect(await program.ended()).toBe('status 2, signal null');
    expect(program.errors).toMatch(/^bad settings: .*PLANTAINRILL_BOOT.*\n$/);
  });
});

function withCallers(file: BootFile, frontend: string): string {
  return JSON.stringify({...file, listen: {...file.listen, frontend}});
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
