/** A direct entry whose port for other entries is taken when it starts. */
import type {Server} from 'node:net';
import {createServer} from 'node:net';

import {
  afterAll,
  afterEach,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.4.40';

const VM = 'entry-1';
const GRACE_S = 2;
const MS_PER_S = 1_000;

/** Time for which the port stays taken, in milliseconds. */
const TAKEN_MS = 3_500;

/** Lines about the wait in TAKEN_MS, at about one a second. */
const MIN_LINES = 2;
const MAX_LINES = 6;

const WAITING = 'not listening for other entries';
const STARTED = '"message":"started"';

describe('a direct entry whose port for other entries is taken', () => {
  const store = new StandInStore();
  const folder = new ProgramFolder();
  let program: StartingProgram;
  let holder: Server;

  beforeAll(async () => {
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
  });

  beforeEach(async () => {
    const file = bootFile({
      ...{name: VM, address: ADDRESS, zone: 'a'},
      store: new URL(store.url).host,
      bounds: {grace_s: GRACE_S},
    });
    holder = createServer();
    await new Promise<void>((resolve) => {
      holder.listen(file.port_range[0], ADDRESS, resolve);
    });
    const path = folder.write('boot.json', JSON.stringify(file));
    const env = {[SETTINGS_PATH_VARIABLE]: path};
    const argv = ['dist/src/daemon/direct-main.js'];
    program = new StartingProgram({folder, argv, env});
    await program.untilLogged(WAITING);
    await program.untilLogged(STARTED);
  });

  afterEach(async () => {
    await program.kill();
    holder.close();
  });

  afterAll(async () => {
    await store.stop();
    folder.remove();
  });

  const isRegistered = () =>
    store.namesOf(StoreObjectKind.ENTRIES).includes(VM);

  it('starts without it, and uses it once it is free', async () => {
    await sleep(TAKEN_MS);
    const lines = program.countLines(WAITING);
    expect(lines).toBeGreaterThanOrEqual(MIN_LINES);
    expect(lines).toBeLessThanOrEqual(MAX_LINES);
    expect(isRegistered()).toBe(false);
    holder.close();
    await waitUntil({
      what: 'it is registered',
      check: () => Promise.resolve(isRegistered()),
    });
    expect(program.errors).toBe('');
    program.signal('SIGTERM');
    expect(await program.ended()).toBe('status 0, signal null');
    expect(isRegistered()).toBe(false);
  });

  it('stops as planned while it waits', async () => {
    const signalledMs = performance.now();
    program.signal('SIGTERM');
    holder.close();
    expect(await program.ended()).toBe('status 0, signal null');
    const tookMs = performance.now() - signalledMs;
    expect(tookMs).toBeLessThan(GRACE_S * MS_PER_S);
    expect(isRegistered()).toBe(false);
  });
});

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
