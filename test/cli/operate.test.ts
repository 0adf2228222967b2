import type {RequestListener} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import type {TestServer} from './lib/http-server.js';
import {startServer, stopServer} from './lib/http-server.js';
import {runTool} from './lib/run-tool.js';

const STATUS = {
  vm: 'entry-1',
  role: 'entry',
  dataCentre: 'waw',
  ready: true,
  leaving: false,
  configVersion: 4,
  configAgeMs: 9_000,
};

const UNREACHABLE_URL = 'http://127.0.0.1:1';

const servers: TestServer[] = [];

afterEach(async () => {
  await Promise.all(servers.splice(0).map(stopServer));
});

async function start(listener: RequestListener): Promise<TestServer> {
  const server = await startServer(listener);
  servers.push(server);
  return server;
}

describe('status', () => {
  it('shows each process, also without a valid response', async () => {
    const {url} = await start((_req, res) => res.end(JSON.stringify(STATUS)));
    const malformed = await start((_req, res) => res.end('{}'));
    const urls = [url, malformed.url, UNREACHABLE_URL].join(',');
    const result = await runTool(['status', '--operators', urls]);
    expect(result.status).toBe(ExitStatus.FAILED);
    expect(result.out).toMatch(/entry-1 +entry +waw +yes +no +4 +9 s\n/);
    expect(result.out).toContain('unknown shape');
    expect(result.out).toMatch(/:1 +no answer/);
  });
});

describe('drain', () => {
  it('waits until the process refuses connections', async () => {
    let statusRequests = 0;
    const process = await start((req, res) => {
      res.setHeader('connection', 'close');
      res.end(req.method === 'POST' ? '' : JSON.stringify(STATUS));
      statusRequests += req.method === 'GET' ? 1 : 0;
      if (statusRequests === 2) {
        process.server.close();
      }
    });
    const args = ['drain', '--operators', process.url, '--wait'];
    const result = await runTool(args);
    expect(result).toMatchObject({
      status: ExitStatus.OK,
      out: 'draining\ngone\n',
    });
    expect(statusRequests).toBe(2);
  });

  it('fails if the process still listens at the deadline', async () => {
    const {url} = await start((_req, res) => res.end(JSON.stringify(STATUS)));
    const args = ['--operators', url, '--wait', '--deadline', '100'];
    const result = await runTool(['drain', ...args]);
    expect(result.status).toBe(ExitStatus.FAILED);
  });
});

const CALLS: {
  name: string;
  listener?: RequestListener;
  status: ExitStatus;
  out: string;
  err: RegExp;
}[] = [
  {
    name: 'a response',
    listener: (req, res) => {
      const {url, headers} = req;
      const fields = [url, headers.authorization, headers['idempotency-key']];
      res.end(fields.join(' '));
    },
    status: ExitStatus.OK,
    out: '/services/orders/new?x=1 Bearer k key-1\n',
    err: /^status 200\n$/,
  },
  {
    name: 'an error response of the service',
    listener: (_req, res) => res.writeHead(409).end('taken'),
    status: ExitStatus.FAILED,
    out: 'taken\n',
    err: /^status 409\n$/,
  },
  {
    name: 'a refusal',
    listener: (_req, res) => {
      const headers = {'content-type': 'application/problem+json'};
      res.writeHead(503, {...headers, 'retry-after': '2'});
      const status = 503;
      const reason = 'store_unavailable';
      const ran = 'no';
      res.end(JSON.stringify({status, title: 't', detail: 'd', reason, ran}));
    },
    status: ExitStatus.REFUSED,
    out: '',
    err: /refused: 503 store_unavailable \(ran: no\): d\nretry after 2000 ms/,
  },
  {
    name: 'a lost response',
    listener: (_req, res) => res.destroy(),
    status: ExitStatus.FAILED,
    out: '',
    err: /ran: unknown/,
  },
  {
    name: 'a failed connection',
    status: ExitStatus.FAILED,
    out: '',
    err: /ran: no/,
  },
];

describe('call', () => {
  it.each(CALLS)('reports $name', async ({listener, status, out, err}) => {
    const entry =
      listener === undefined ? UNREACHABLE_URL : (await start(listener)).url;
    const target = ['--entry', entry, '--service', 'orders'];
    const key = ['--key', 'k', '--idempotency-key', 'key-1'];
    const req = ['--method', 'POST', '--path', '/new?x=1', '--body', '{}'];
    const result = await runTool(['call', ...target, ...key, ...req]);
    expect(result).toMatchObject({status, out});
    expect(result.err).toMatch(err);
  });
});
