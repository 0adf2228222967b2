/** Programs that get signals from the first moment at which they handle them. */
import {resolve} from 'node:path';

import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.3';

/**
 * Share of the processor time of loading the whole program that may pass until
 * signals are handled, beside that of a program of one line.
 */
const EARLY_SHARE = 0.2;

/** Starts of which the shortest counts. */
const STARTS = 5;

/** Interval and number of the signals of one series. */
const SIGNAL_INTERVAL_MS = 5;
const SIGNALS = 200;

const HANDLER = "process.on('SIGHUP', () => undefined);";

enum ModuleKind {
  COMMON_JS = 'cjs',
  ES = 'mjs',
}

const DAEMON = [
  ...['dist/src/daemon/main.js', '--set', 'peers.port=0'],
  ...['--set', 'operators.port=0', '--settings'],
];

const PROGRAMS = [
  {
    what: 'the deployed entry',
    kind: ModuleKind.COMMON_JS,
    argv: ['--max-old-space-size=90', 'target/direct.cjs'],
    rest: 'target/run-direct.cjs',
  },
  {
    what: 'a direct entry',
    kind: ModuleKind.ES,
    argv: ['dist/src/daemon/direct-main.js'],
    rest: 'dist/src/daemon/run-direct.js',
  },
  {
    what: 'an entry before agents',
    kind: ModuleKind.ES,
    argv: [
      ...[...DAEMON, 'examples/quickstart/processes/entry.yaml'],
      ...['--set', 'callers.port=0'],
    ],
    rest: 'dist/src/daemon/run-daemon.js',
  },
  {
    what: 'an agent',
    kind: ModuleKind.ES,
    argv: [...DAEMON, 'examples/quickstart/processes/agent.yaml'],
    rest: 'dist/src/daemon/run-daemon.js',
  },
];

/** Time after the first handled moment, in milliseconds. */
const STOPS_MS = [0, 20, 50, 100, 200, 400];

describe('a signal during the start of', () => {
  const store = new StandInStore();
  const folder = new ProgramFolder();
  const programs: StartingProgram[] = [];
  let env: Record<string, string>;

  beforeAll(async () => {
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    const settings = bootFile({
      ...{name: 'entry-1', address: ADDRESS, zone: 'a'},
      store: new URL(store.url).host,
      bounds: {grace_s: 2},
    });
    const path = folder.write('boot.json', JSON.stringify(settings));
    env = {[SETTINGS_PATH_VARIABLE]: path};
  });

  afterEach(async () => {
    await Promise.all(programs.map((program) => program.kill()));
    programs.length = 0;
  });

  afterAll(async () => {
    await store.stop();
    folder.remove();
  });

  function start(
    argv: readonly string[],
    earlySignal?: NodeJS.Signals,
  ): StartingProgram {
    const program = new StartingProgram({folder, argv, env, earlySignal});
    programs.push(program);
    return program;
  }

  /** Shortest processor times until SIGHUP is handled, in milliseconds. */
  async function untilHandled(
    commands: ReadonlyArray<readonly string[]>,
  ): Promise<number[]> {
    const shortest = commands.map(() => Number.POSITIVE_INFINITY);
    for (let i = 0; i < STARTS; i++) {
      for (const [k, argv] of commands.entries()) {
        const program = start(argv);
        const ms = await program.untilHandled();
        shortest[k] = Math.min(shortest[k]!, ms);
        await program.kill();
      }
    }
    return shortest;
  }

  /** A program that handles signals once the rest is loaded. */
  function writeLate(kind: ModuleKind, rest: string): string {
    const path = JSON.stringify(resolve(rest));
    const load =
      kind === ModuleKind.ES ? `import ${path};` : `require(${path});`;
    return folder.write(`late.${kind}`, `${load}\n${HANDLER}`);
  }

  // Guards against processes that a signal ends as their program is loaded (FAULT).
  it.each(PROGRAMS)(
    '$what is handled as early as one of a line',
    async ({kind, argv, rest}) => {
      const line = folder.write(`line.${kind}`, HANDLER);
      const commands = [[line], argv, [writeLate(kind, rest)]];
      const [lineMs, programMs, lateMs] = await untilHandled(commands);
      const loadMs = lateMs! - lineMs!;
      expect(programMs! - lineMs!).toBeLessThan(EARLY_SHARE * loadMs);
    },
  );

  // Guards against programs that open their ports after they were told to stop.
  it.each(PROGRAMS)(
    '$what that is loaded stops it before it serves',
    async ({argv}) => {
      const program = start(argv, 'SIGTERM');
      expect(await program.ended()).toBe('status 0, signal null');
      expect(program.output + program.errors).toBe('');
    },
  );

  // Guards against processes that end as nobody reads their log any more (FAULT).
  it.each(PROGRAMS)('$what ends none whose log is closed', async ({argv}) => {
    const program = start(argv);
    program.closeReaders();
    await program.untilHandled();
    for (let sent = 0; sent < SIGNALS; sent++) {
      program.signal('SIGHUP');
      await new Promise((done) => setTimeout(done, SIGNAL_INTERVAL_MS));
    }
    expect(program.end ?? 'runs').toBe('runs');
  });

  it.each(PROGRAMS)('$what does not end it by SIGHUP', async ({argv}) => {
    const program = start(argv);
    await program.untilHandled();
    for (let sent = 0; sent < SIGNALS; sent++) {
      program.signal('SIGHUP');
      await new Promise((done) => setTimeout(done, SIGNAL_INTERVAL_MS));
    }
    expect(program.end ?? 'runs', program.errors).toBe('runs');
  });

  it.each(PROGRAMS)('$what ends it as planned by SIGTERM', async ({argv}) => {
    const ends = STOPS_MS.map(async (delayMs) => {
      const program = start(argv);
      await program.untilHandled();
      await new Promise((done) => setTimeout(done, delayMs));
      program.signal('SIGTERM');
      return {delayMs, end: await program.ended()};
    });
    expect(await Promise.all(ends)).toEqual(
      STOPS_MS.map((delayMs) => ({delayMs, end: 'status 0, signal null'})),
    );
  });
});
