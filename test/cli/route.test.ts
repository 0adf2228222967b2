/** From where `route` takes the key of a client account. */
import {afterEach, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import type {TestServer} from './lib/http-server.js';
import {startServer, stopServer} from './lib/http-server.js';
import {runTool} from './lib/run-tool.js';

const KEY = 'key-1';

const ENV = {PLANTAINRILL_KEY: KEY};

describe('the key of a question for a route', () => {
  let server: TestServer | undefined;

  afterEach(async () => {
    if (server !== undefined) await stopServer(server);
    server = undefined;
  });

  const ask = async (
    args: string[],
    surroundings: {env?: Record<string, string>; input?: string},
  ) => {
    let seen: string | undefined;
    server = await startServer((req, res) => {
      seen = req.headers.authorization;
      res.statusCode = 503;
      res.end('no configuration');
    });
    const all = ['--operators', server.url, '--host', 'a', '--path', '/'];
    const result = await runTool(
      ['route', ...all, ...args],
      undefined,
      surroundings,
    );
    return {...result, seen};
  };

  it.each([
    {name: 'is none', args: [], given: {}, seen: undefined},
    {name: 'is in the environment', args: [], given: {env: ENV}, seen: KEY},
    {
      name: 'is read',
      args: ['--key-stdin'],
      given: {env: ENV, input: 'key-2\n'},
      seen: 'key-2',
    },
    {
      name: 'yields to an account',
      args: ['--account', 'demo'],
      given: {env: ENV},
      seen: undefined,
    },
    {name: 'is empty', args: ['--key-stdin'], given: {}, seen: undefined},
  ])('$name', async ({args, given, seen}) => {
    const asked = await ask(args, given);
    expect(asked.status).toBe(ExitStatus.FAILED);
    expect(asked.seen).toBe(seen && `Bearer ${seen}`);
    expect(asked.out + asked.err).not.toContain(KEY);
  });

  it('is no argument', async () => {
    const {status, seen} = await ask(['--key', KEY], {});
    expect([status, seen]).toEqual([ExitStatus.BAD_INPUT, undefined]);
  });
});
