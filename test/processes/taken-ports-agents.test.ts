/** Entries and agents that start while a former process still has a port. */
import type {Server} from 'node:net';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {waitUntil} from '../../tools/lab/lab.js';
import {ProgramFolder, StartingProgram} from '../support/starting-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.41';

/** Time for which a port stays taken, in milliseconds. */
const TAKEN_MS = 1_500;

/** Log line of a process that waits. */
const WAITING = 'address in use, waiting for it';

/** Ports of the settings under test. */
const PORTS = {peers: 7_811, operators: 7_812, callers: 7_813};

type Edge = keyof typeof PORTS;

const CASES = [
  {role: 'entry', edge: 'callers'},
  {role: 'entry', edge: 'operators'},
  {role: 'entry', edge: 'peers'},
  {role: 'agent', edge: 'operators'},
  {role: 'agent', edge: 'peers'},
] as const satisfies ReadonlyArray<{role: string; edge: Edge}>;

function edgesOf(role: string): Edge[] {
  return role === 'entry'
    ? ['peers', 'operators', 'callers']
    : ['peers', 'operators'];
}

describe('a process', () => {
  let folder: ProgramFolder;
  let program: StartingProgram;
  let holder: Server;

  beforeEach(() => {
    folder = new ProgramFolder();
    holder = createServer();
  });

  afterEach(async () => {
    await program.kill();
    holder.close();
    folder.remove();
  });

  function start(role: string, address = ADDRESS): void {
    const settings = edgesOf(role).flatMap((edge) => [
      ...['--set', `${edge}.address=${address}`],
      ...['--set', `${edge}.port=${PORTS[edge]}`],
    ]);
    const file = `examples/quickstart/processes/${role}.yaml`;
    const argv = ['dist/src/daemon/main.js', '--settings', file, ...settings];
    program = new StartingProgram({folder, argv});
  }

  async function hasSaidThatItWaits(): Promise<boolean> {
    return Promise.resolve(program.errors.includes(WAITING));
  }

  // Guards against processes that end as a former one still has a port (FAULT).
  it.each(CASES)('waits for the taken port of $role $edge', async (row) => {
    const port = PORTS[row.edge];
    await new Promise<void>((resolve) => holder.listen(port, ADDRESS, resolve));
    start(row.role);
    await waitUntil({
      what: 'it has said that it waits',
      check: hasSaidThatItWaits,
    });
    await sleep(TAKEN_MS);
    expect(program.end).toBeUndefined();
    holder.close();
    await waitUntil({
      what: 'its operators are served',
      check: async () => {
        const url = `http://${ADDRESS}:${PORTS.operators}/healthz`;
        const {statusCode, body} = await request(url, {reset: true});
        await body.dump();
        return statusCode === 200;
      },
    });
    expect(program.end).toBeUndefined();
  });

  it.each(CASES)('stops as planned while $role $edge waits', async (row) => {
    const port = PORTS[row.edge];
    await new Promise<void>((resolve) => holder.listen(port, ADDRESS, resolve));
    start(row.role);
    await waitUntil({
      what: 'it has said that it waits',
      check: hasSaidThatItWaits,
    });
    program.signal('SIGTERM');
    expect(await program.ended()).toBe('status 0, signal null');
  });

  it('ends if it can never listen', async () => {
    // An address of a link that is not named, so that no attempt can succeed.
    start('agent', 'fe80::1');
    expect(await program.ended()).toBe('status 1, signal null');
    expect(program.errors).toContain('cannot listen');
  });
});
