/** Time limits of a process that was blocked. */
import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {connect, createServer} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {callHttp, createPool} from '../../../src/adapters/http-call.js';
import {scheduleTimer} from '../../../src/core/clock/index.js';

const LIMIT_MS = 50;

/** How long the process is blocked after the data was sent. */
const BLOCKED_MS = 200;

function block(): void {
  const endMs = performance.now() + BLOCKED_MS;
  while (performance.now() < endMs);
}

describe('a time limit', () => {
  let server: Server;

  afterEach(() => server.close());

  const listen = async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return (server.address() as AddressInfo).port;
  };

  const connectPair = async () => {
    server = createServer();
    const client = connect(await listen(), '127.0.0.1');
    const [peer] = (await once(server, 'connection')) as [typeof client];
    return {client, peer};
  };

  it('lets data that arrived before it cancel it', async () => {
    const {client, peer} = await connectPair();
    let hasEnded = false;
    const timer = scheduleTimer({
      delayMs: LIMIT_MS,
      run: () => (hasEnded = true),
    });
    client.on('data', () => timer.cancel());
    peer.write('in time');
    block();
    await once(client, 'data');
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(hasEnded).toBe(false);
    client.destroy();
  });

  it('ends if no data arrived while the process was blocked', async () => {
    const {client} = await connectPair();
    const hasEnded = new Promise<boolean>((resolve) => {
      scheduleTimer({delayMs: LIMIT_MS, run: () => resolve(true)});
    });
    block();
    expect(await hasEnded).toBe(true);
    client.destroy();
  });

  it('ends on time in a process that was not blocked', async () => {
    server = createServer();
    const startedMs = performance.now();
    await new Promise<void>((resolve) => {
      scheduleTimer({delayMs: LIMIT_MS, run: resolve});
    });
    expect(performance.now() - startedMs).toBeGreaterThanOrEqual(LIMIT_MS - 2);
  });

  it('of an HTTP call does not discard a response that arrived before it', async () => {
    server = createHttpServer((_req, res) => {
      res.end('in time');
      setImmediate(block);
    });
    const res = await callHttp({
      dispatcher: createPool({keepsAlive: false}),
      url: `http://127.0.0.1:${await listen()}/`,
      method: 'GET',
      headers: [],
      timeoutMs: LIMIT_MS,
    });
    expect(res._unsafeUnwrap().body.toString()).toBe('in time');
  });
});
