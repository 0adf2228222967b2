import {afterEach, describe, expect, it} from 'vitest';

import {HttpServiceDriver} from '../../src/adapters/index.js';
import {DriverErrorKind} from '../../src/core/edges/index.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startService} from '../../stand-ins/service/server.js';
import {
  getJson,
  UNREACHABLE_URL,
  post,
  startStubServer,
} from '../support/http.js';

const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 100;
const RESET_DELAY_MS = 10;

const BOOKING = {
  method: 'POST',
  path: '/bookings',
  headers: [
    {name: 'Idempotency-Key', value: 'k1'},
    {name: 'Connection', value: 'close'},
    {name: 'Content-Length', value: '999'},
  ],
  body: Buffer.from('{"pallets":2}'),
};

const LOOKUP = {
  method: 'GET',
  path: '/stock/pumice?unit=bag',
  headers: [],
  body: Buffer.alloc(0),
};

const servers: RunningServer[] = [];

async function open(server: Promise<RunningServer>): Promise<string> {
  const opened = await server;
  servers.push(opened);
  return opened.url;
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

function decodeBody({body}: {body: Uint8Array}): string {
  return Buffer.from(body).toString('utf8');
}

describe('HttpServiceDriver.call', () => {
  it('forwards a booking and its response', async () => {
    const url = await open(startService({delayMs: 0}));
    const driver = new HttpServiceDriver({baseUrl: url});
    const called = await driver.call({req: BOOKING, timeoutMs: TIMEOUT_MS});
    const res = called._unsafeUnwrap();
    expect(res.status).toBe(201);
    expect(JSON.parse(decodeBody(res))).toMatchObject({
      key: 'k1',
      execution: 1,
    });
    const type = {name: 'content-type', value: 'application/json'};
    expect(res.headers).toContainEqual(type);
    expect(await getJson(`${url}/counts`)).toEqual({
      perKey: [{key: 'k1', count: 1}],
      lookups: 0,
    });
  });

  it('forwards a lookup', async () => {
    const url = await open(startService({delayMs: 0}));
    const driver = new HttpServiceDriver({baseUrl: url});
    const called = await driver.call({req: LOOKUP, timeoutMs: TIMEOUT_MS});
    const res = called._unsafeUnwrap();
    expect([res.status, decodeBody(res)]).toEqual([
      200,
      expect.stringContaining('"item":"pumice"'),
    ]);
  });

  it('sends no request to another host', async () => {
    const url = await open(startService({delayMs: 0}));
    const driver = new HttpServiceDriver({baseUrl: url});
    const req = {...LOOKUP, path: '@127.0.0.1:1/stock/pumice'};
    const called = await driver.call({req, timeoutMs: TIMEOUT_MS});
    expect(called._unsafeUnwrap().status).toBe(404);
  });

  it.each(['/../admin', '/%2e%2e/admin', '/x/../../admin'])(
    'sends no request for %s, which is outside the root',
    async (path) => {
      const url = await open(startService({delayMs: 0}));
      const driver = new HttpServiceDriver({baseUrl: `${url}/app`});
      const req = {...BOOKING, path};
      const called = await driver.call({req, timeoutMs: TIMEOUT_MS});
      expect(called._unsafeUnwrapErr().kind).toBe(DriverErrorKind.NOT_SENT);
    },
  );

  it('returns a response with an error status', async () => {
    const url = await open(startService());
    await post(`${url}/faults`, {kind: 'fail_fast'});
    const driver = new HttpServiceDriver({baseUrl: url});
    const called = await driver.call({req: BOOKING, timeoutMs: TIMEOUT_MS});
    expect(called._unsafeUnwrap().status).toBe(500);
  });
});

const FAILURES = [
  {
    name: 'a refused connection',
    target: () => Promise.resolve(UNREACHABLE_URL),
    timeoutMs: TIMEOUT_MS,
    kind: DriverErrorKind.NOT_SENT,
  },
  {
    name: 'a connection that breaks before the response',
    target: () => open(startStubServer((res) => res.destroy())),
    timeoutMs: TIMEOUT_MS,
    kind: DriverErrorKind.LOST,
  },
  {
    name: 'a truncated response',
    target: () =>
      open(
        startStubServer((res) => {
          res.writeHead(200, {'content-length': '100'});
          res.write('{', () => res.destroy());
        }),
      ),
    timeoutMs: TIMEOUT_MS,
    kind: DriverErrorKind.LOST,
  },
  {
    name: 'a response without length whose connection is reset',
    target: () =>
      open(
        startStubServer(({socket}) => {
          socket!.write('HTTP/1.1 200 OK\r\n\r\n{', () =>
            setTimeout(() => socket!.resetAndDestroy(), RESET_DELAY_MS),
          );
        }),
      ),
    timeoutMs: TIMEOUT_MS,
    kind: DriverErrorKind.LOST,
  },
  {
    name: 'a stalled service',
    target: async () => {
      const url = await open(startService());
      await post(`${url}/faults`, {kind: 'stall'});
      return url;
    },
    timeoutMs: SHORT_TIMEOUT_MS,
    kind: DriverErrorKind.TIMEOUT,
  },
];

describe('HttpServiceDriver failures', () => {
  it.each(FAILURES)('reports $name', async ({target, timeoutMs, kind}) => {
    const driver = new HttpServiceDriver({baseUrl: await target()});
    const called = await driver.call({req: BOOKING, timeoutMs});
    expect(called._unsafeUnwrapErr().kind).toBe(kind);
    const probed = await driver.probe({timeoutMs});
    expect(probed._unsafeUnwrapErr().kind).toBe(kind);
  });

  it('probes a healthy service', async () => {
    const url = await open(startService({capacity: 7}));
    const driver = new HttpServiceDriver({baseUrl: url});
    const probed = await driver.probe({timeoutMs: TIMEOUT_MS});
    expect(probed._unsafeUnwrap()).toEqual({running: 0, capacity: 7});
  });

  it('reports a malformed probe', async () => {
    const url = await open(startStubServer((res) => res.end('[]')));
    const driver = new HttpServiceDriver({baseUrl: url});
    const probed = await driver.probe({timeoutMs: TIMEOUT_MS});
    const {kind} = probed._unsafeUnwrapErr();
    expect(kind).toBe(DriverErrorKind.MALFORMED);
  });
});
