/** Programs that get signals until they have ended as planned. */
import {afterAll, afterEach, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE} from '../../platform/names.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

/** First of the addresses on which nothing else listens, one for each stop. */
const NET = '127.9.5';

const STOPS = 6;

const SIGNAL_INTERVAL_MS = 1;

const PROGRAMS = [
  {
    what: 'the deployed entry',
    argv: ['--max-old-space-size=90', 'target/direct.cjs'],
  },
  {what: 'a direct entry', argv: ['dist/src/daemon/direct-main.js']},
];

describe('a planned stop of', () => {
  const folder = new ProgramFolder();
  const programs: StartingProgram[] = [];

  afterEach(async () => {
    await Promise.all(programs.map((program) => program.kill()));
    programs.length = 0;
  });

  afterAll(() => folder.remove());

  function start(argv: readonly string[], index: number): StartingProgram {
    const file = bootFile({
      ...{name: 'entry-1', address: `${NET}.${index + 1}`, zone: 'a'},
      store: '127.0.0.1:9',
      bounds: {grace_s: 1},
    });
    const path = folder.write(`boot-${index}.json`, JSON.stringify(file));
    const env = {[SETTINGS_PATH_VARIABLE]: path};
    const program = new StartingProgram({folder, argv, env});
    programs.push(program);
    return program;
  }

  async function stop(program: StartingProgram): Promise<string> {
    await program.untilLogged('"message":"started"');
    program.signal('SIGTERM');
    while (program.end === undefined) {
      program.signal('SIGHUP');
      await new Promise((resolve) => setTimeout(resolve, SIGNAL_INTERVAL_MS));
    }
    return program.ended();
  }

  it.each(PROGRAMS)(
    '$what ends with status 0 under SIGHUPs',
    async ({argv}) => {
      const started = Array.from({length: STOPS}, (_, i) => start(argv, i));
      const ends = await Promise.all(started.map((program) => stop(program)));
      expect(ends).toEqual(Array(STOPS).fill('status 0, signal null'));
    },
  );
});
