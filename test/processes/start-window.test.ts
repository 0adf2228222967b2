/** A direct entry from its first signal handler until it has started. */
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
import {
  bootFile,
  callersEndpointOf,
  readinessAddressOf,
} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

const ENTRY = 'dist/src/daemon/direct-main.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.4.20';

/** An address that no machine has. */
const ABSENT = '192.0.2.1';

/** IPv6 without a zone, on which nothing can listen. */
const UNUSABLE = 'fe80::1';

const GRACE_S = 2;
const LONG_GRACE_S = 20;
const MS_PER_S = 1_000;

/** Time within which a changed file is applied, in milliseconds. */
const MAX_APPLY_MS = 3_000;

const WAITING = 'address in use, waiting for it';
const APPLIED = 'settings file changed, settings applied';
const STARTED = '"message":"started"';

const PORTS = [
  {what: 'callers', port: callersEndpointOf(ADDRESS).port},
  {
    what: 'readiness',
    port: Number(readinessAddressOf(ADDRESS).split(':').at(-1)),
  },
];

describe('a direct entry that waits for a port', () => {
  const store = new StandInStore();
  const folder = new ProgramFolder();
  let program: StartingProgram;
  let holder: Server;
  let file: ReturnType<typeof bootFile>;

  beforeAll(async () => {
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
  });

  beforeEach(() => {
    holder = createServer();
    file = bootFile({
      ...{name: 'entry-1', address: ADDRESS, zone: 'a'},
      store: new URL(store.url).host,
      bounds: {grace_s: GRACE_S},
    });
  });

  afterEach(async () => {
    await program.kill();
    holder.close();
  });

  afterAll(async () => {
    await store.stop();
    folder.remove();
  });

  function start(): void {
    const path = folder.write('boot.json', JSON.stringify(file));
    const env = {[SETTINGS_PATH_VARIABLE]: path};
    program = new StartingProgram({folder, argv: [ENTRY], env});
  }

  async function startWithout(port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      holder.listen(port, ADDRESS, resolve);
    });
    start();
    await program.untilLogged(WAITING);
  }

  const listenOn = (address: string) => {
    const {host, port} = callersEndpointOf(address);
    file = {...file, listen: {...file.listen, frontend: `${host}:${port}`}};
  };

  const change = () => {
    const limits = {memory_mb: 300};
    folder.write('boot.json', JSON.stringify({...file, limits}));
  };

  it.each(
    PORTS.flatMap((port) => [
      {...port, how: 'unannounced', signals: []},
      {...port, how: 'announced', signals: ['SIGHUP' as const]},
    ]),
  )('of $what applies settings changed $how', async ({port, signals}) => {
    await startWithout(port);
    change();
    for (const signal of signals) program.signal(signal);
    await program.untilLogged(APPLIED, MAX_APPLY_MS);
    holder.close();
    await program.untilLogged(STARTED);
    expect(program.countLines(APPLIED)).toBe(1);
    expect(program.end).toBeUndefined();
  });

  it.each(PORTS)('of $what ends as planned by SIGTERM', async ({port}) => {
    await startWithout(port);
    const signalledMs = performance.now();
    program.signal('SIGTERM');
    expect(await program.ended()).toBe('status 0, signal null');
    const tookMs = performance.now() - signalledMs;
    expect(tookMs).toBeLessThan(GRACE_S * MS_PER_S);
  });

  it('of an absent address starts once the settings name another', async () => {
    listenOn(ABSENT);
    start();
    await program.untilLogged(WAITING);
    listenOn(ADDRESS);
    folder.write('boot.json', JSON.stringify(file));
    await program.untilLogged(STARTED);
    expect(program.end).toBeUndefined();
  });

  it('of nobody stops within the grace period of changed settings', async () => {
    const bounds = {grace_s: LONG_GRACE_S};
    const path = folder.write('boot.json', JSON.stringify({...file, bounds}));
    const env = {[SETTINGS_PATH_VARIABLE]: path};
    program = new StartingProgram({folder, argv: [ENTRY], env});
    await program.untilLogged(STARTED);
    folder.write('boot.json', JSON.stringify(file));
    await program.untilLogged(APPLIED);
    const signalledMs = performance.now();
    program.signal('SIGTERM');
    expect(await program.ended()).toBe('status 0, signal null');
    const tookMs = performance.now() - signalledMs;
    expect(tookMs).toBeLessThan(GRACE_S * MS_PER_S);
  });

  it('ends with one line if the address can never be listened on', async () => {
    listenOn(UNUSABLE);
    start();
    expect(await program.ended()).toBe('status 2, signal null');
    expect(program.errors).toMatch(/^bad settings: .*fe80::1.*\n$/);
  });
});
