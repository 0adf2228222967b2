/** Connections to targets that end while the event loop is busy. */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import {silentSupervisor} from '../support/supervisor.js';

/** Longer than an idle connection is kept, in milliseconds. */
const BUSY_MS = 900;

/** Longer than any request needs, in milliseconds. */
const TIMEOUT_MS = 8_000;

const TARGET = {
  id: 'i-1',
  service: 'desk',
  dataCentre: 'a',
  isDraining: false,
  startedAtMs: 1,
  slots: 8,
};

describe('a connection to a target', () => {
  let server: Server;
  let targets: TargetClient;

  beforeEach(async () => {
    server = createServer((req, res) => {
      const id = req.headers['attempt-id'];
      res.writeHead(200, {
        'Server-Stamp': 's',
        'Attempt-Id': String(id),
        'Content-Length': '2',
      });
      res.end('ok');
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    targets = new TargetClient({supervisor: silentSupervisor()});
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Sends a request; returns how its exchange has ended. */
  function exchange(attemptId: string): Promise<string> {
    const {port} = server.address() as AddressInfo;
    return new Promise((resolve) => {
      targets.send({
        target: {...TARGET, address: `127.0.0.1:${port}`},
        maxConnections: 1,
        req: {
          attemptId,
          method: 'GET',
          path: '/',
          headers: [{name: 'Attempt-Id', value: attemptId}],
          body: new Uint8Array(),
          leftMs: TIMEOUT_MS,
        },
        listener: {
          onNotice: () => undefined,
          onHead: () => undefined,
          onData: () => undefined,
          onComplete: () => resolve('complete'),
          onFailure: (failure, detail) => resolve(`${failure}: ${detail}`),
        },
      });
    });
  }

  const ENDS = [
    {what: 'its target ends it', end: () => server.closeIdleConnections()},
    {what: 'its time ends', end: blockEventLoop},
  ];

  // Guards against requests that fail as the connection that was chosen for
  // them ended before they were written (CROWD).
  it.each(ENDS)('is opened anew if $what before it is used', async ({end}) => {
    expect(await exchange('a-1')).toBe('complete');
    await nextTurn();
    end();
    expect(await exchange('a-2')).toBe('complete');
  });
});

function blockEventLoop(): void {
  const endMs = performance.now() + BUSY_MS;
  while (performance.now() < endMs);
}
