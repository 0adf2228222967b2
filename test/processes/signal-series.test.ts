/** Entries and agents that get signals in series until they have ended. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import type {Proc} from '../../tools/lab/proc.js';
import {Site} from '../../tools/lab/site.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

const TOKENS = 100;

/** Tokens of the generation that arrive before the first signal. */
const TOKENS_BEFORE = 20;

const PACE_MS = 20;

const TEST_TIMEOUT_MS = 60_000;

const SERIES: ReadonlyArray<readonly NodeJS.Signals[]> = [
  ['SIGTERM'],
  ['SIGINT', 'SIGTERM'],
  ['SIGHUP', 'SIGTERM', 'SIGINT'],
];

const INTERVALS_MS = [0, 3, 40];

const ROLES = ['entry', 'agent'] as const;

const DRAINS = ROLES.flatMap((role) =>
  SERIES.flatMap((signals) =>
    INTERVALS_MS.map((intervalMs) => ({role, signals, intervalMs})),
  ),
);

const STARTS = ROLES.flatMap((role) =>
  SERIES.map((signals) => ({role, signals})),
);

/** Time from the first handled moment to the first signal, in milliseconds. */
const FIRST_SIGNALS_MS = [0, 30, 100, 300];

describe('signals in series', () => {
  let site: Site | undefined;
  let folder: ProgramFolder | undefined;

  afterEach(async () => {
    await site?.close();
    folder?.remove();
    site = undefined;
    folder = undefined;
  });

  async function signalUntilEnded(
    proc: Proc,
    signals: readonly NodeJS.Signals[],
    intervalMs: number,
  ): Promise<void> {
    for (let sent = 0; proc.isRunning; sent++) {
      process.kill(proc.pid, signals[sent % signals.length]);
      await sleep(intervalMs);
    }
  }

  it.each(DRAINS)(
    '$signals each $intervalMs ms during the work and drain of an $role',
    async ({role, signals, intervalMs}) => {
      const engineFlags = {'pace-ms': PACE_MS};
      site = await Site.create({entries: 1, engines: 2, engineFlags});
      const entry = site.entries[0]!;
      const {proc} = role === 'entry' ? entry : site.engines[0]!.agent;
      let series: Promise<void> | undefined;
      const transcript = createTranscript();
      const req = {
        prompt: `signals [length=${TOKENS}]`,
        maxTokens: TOKENS,
      };
      await readStream({
        ...{url: entry.callersUrl, req, transcript},
        onChunk: ({chunks}) => {
          if (chunks !== TOKENS_BEFORE) return;
          series = signalUntilEnded(proc, signals, intervalMs);
        },
      });
      const output = expectedOutput({...req, stop: []});
      const text = output.tokens.map((token) => token.text).join('');
      expect(transcript).toMatchObject({text, doneEvents: 1, errors: []});
      await series;
      expect(await proc.exited, proc.stderr).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );

  it.each(STARTS)(
    '$signals from the start of an $role',
    async ({role, signals}) => {
      const files = new ProgramFolder();
      folder = files;
      const edges = role === 'entry' ? ['peers', 'operators', 'callers'] : [];
      const ports = [...edges, 'peers', 'operators'].flatMap((edge) => [
        ...['--set', `${edge}.port=0`],
      ]);
      const file = `examples/quickstart/processes/${role}.yaml`;
      const script = 'dist/src/daemon/main.js';
      const ends = FIRST_SIGNALS_MS.map(async (delayMs) => {
        const argv = [script, '--settings', file, ...ports];
        const program = new StartingProgram({folder: files, argv});
        await program.untilHandled();
        await sleep(delayMs);
        for (let sent = 0; program.end === undefined; sent++) {
          program.signal(signals[sent % signals.length]!);
          await sleep(1);
        }
        return program.end;
      });
      const ended = await Promise.all(ends);
      expect(ended).toEqual(ended.map(() => 'status 0, signal null'));
    },
    TEST_TIMEOUT_MS,
  );
});
