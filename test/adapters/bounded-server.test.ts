/** HTTP servers within bounds, over real sockets. */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {boundServer} from '../../src/adapters/bounded-server/index.js';
import {SystemClock} from '../../src/core/clock/index.js';
import {
  ConnectionTable,
  deriveLimits,
} from '../../src/core/connections/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {waitUntil} from '../../tools/lab/lab.js';

const MB = 1024 * 1024;

/** Time that the server takes for a request, in milliseconds. */
const WORK_MS = 20;

function request(path: string, body = ''): string {
  const length = `Content-Length: ${body.length}`;
  return `POST ${path} HTTP/1.1\r\nHost: a\r\n${length}\r\n\r\n${body}`;
}

function chunked(path: string, chunks: readonly string[]): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked`;
  const parts = [...chunks, ''].map(
    (chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
  );
  return `${head}\r\n\r\n${parts.join('')}`;
}

const LARGE = 'x'.repeat(4 * MB);

const CASES = [
  {what: 'a request', texts: [request('/1', 'ab')], served: ['/1 2']},
  {
    what: 'a body of 4 MiB, and a request that follows in the same bytes',
    texts: [request('/1', LARGE) + request('/2')],
    served: [`/1 ${4 * MB}`, '/2 0'],
  },
  {
    what: 'a body of 4 MiB in chunks',
    texts: [
      chunked(
        '/1',
        Array.from({length: 64}, () => LARGE.slice(0, 65_536)),
      ),
    ],
    served: [`/1 ${4 * MB}`],
  },
  {
    what: 'requests sent ahead, in order',
    texts: [Array.from({length: 100}, (_, i) => request(`/${i}`)).join('')],
    served: Array.from({length: 100}, (_, i) => `/${i} 0`),
  },
  {
    what: 'a request that comes byte by byte',
    texts: [...request('/1', 'abc')],
    served: ['/1 3'],
  },
  {
    what: 'a request behind one that has a large head',
    texts: [
      `GET /1 HTTP/1.1\r\nHost: a\r\nLarge: ${'h'.repeat(14_000)}\r\n\r\n`,
      request('/2'),
    ],
    served: ['/1 0', '/2 0'],
  },
];

describe('a server within bounds', () => {
  let server: Server;
  let client: Socket;
  let inWork = 0;
  let mostInWork = 0;
  let started: string[];
  let text: string;

  beforeEach(async () => {
    started = [];
    text = '';
    inWork = mostInWork = 0;
    server = createServer((req, res) => {
      let bytes = 0;
      started.push(req.url!);
      mostInWork = Math.max(mostInWork, ++inWork);
      req.on('data', (chunk: Buffer) => (bytes += chunk.length));
      req.on('end', () =>
        setTimeout(() => {
          inWork--;
          res.end(`${req.url} ${bytes};`);
        }, WORK_MS),
      );
    });
    const clock = new SystemClock();
    const limits = deriveLimits({memoryBytes: 200 * MB, descriptors: 4_096});
    const edges = {metrics: new Metrics(), logger: SILENT_LOGGER};
    const table = new ConnectionTable({limits, clock, ...edges});
    boundServer(server, {table, clock});
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    client = connect({port, host: '127.0.0.1'});
    client.on('data', (chunk) => (text += chunk.toString('latin1')));
    client.on('error', () => undefined);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  function served(): string[] {
    return [...text.matchAll(/(\/\d+ \d+);/g)].map(([, one]) => one!);
  }

  it.each(CASES)('serves $what', async (row) => {
    for (const part of row.texts) client.write(part, 'latin1');
    await waitUntil({
      what: 'all are served',
      check: async () => Promise.resolve(served().length >= row.served.length),
    });
    expect(served()).toEqual(row.served);
  });

  // Guards against requests parsed while answers are unread (CROWD).
  it('runs none of what was sent far ahead', async () => {
    client.write(request('/1'));
    const ahead = Array.from({length: 2_000}, (_, i) => request(`/${i + 2}`));
    client.write(ahead.join(''));
    await new Promise((resolve) => client.once('close', resolve));
    expect(started.length).toBeLessThan(100);
    expect(mostInWork).toBeLessThan(100);
  });

  // Guards against memory kept for requests that waited for another (LOST).
  it('notices it for each request that was read', async () => {
    let closed = 0;
    server.on('request', (_, res) => res.once('close', () => closed++));
    const cut = 'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n';
    client.write(request('/1') + cut);
    await waitUntil({
      what: 'both are read',
      check: () => Promise.resolve(started.length === 2),
    });
    client.destroy();
    await waitUntil({
      what: 'both have closed',
      check: () => Promise.resolve(closed === 2),
    });
  });

  it('notices that its client has left', async () => {
    const closed = new Promise((resolve) =>
      server.once('request', (_, res) => res.once('close', resolve)),
    );
    client.write(`POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab`);
    setTimeout(() => client.destroy(), WORK_MS);
    await closed;
  });
});
