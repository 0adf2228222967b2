/** Responses of targets: size limit, forwarding and the reported outcome. */
import type {ServerResponse} from 'node:http';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {MAX_RESPONSE_BYTES} from '../../src/adapters/http-service-driver.js';
import {RefusalReason} from '../../src/core/errors/index.js';
import {MAX_FRAME_BYTES} from '../../src/core/protocol/index.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startServer} from '../../stand-ins/lib/http-server.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import {send} from '../support/callers.js';

const OVERSIZED_BYTES = MAX_RESPONSE_BYTES + 1;

let site: Site;
let target: RunningServer;
let calls = 0;

beforeAll(async () => {
  target = await startServer({
    address: '127.0.0.1',
    port: 0,
    handle: ({req, res, segments}) => {
      req.resume();
      respond(res, segments);
    },
  });
  site = await Site.create({entries: 1, engines: 0});
  for (const service of ['orders', 'stock']) await addTarget(service);
  await waitUntil({
    what: 'both targets are usable at the entry',
    timeoutMs: 60_000,
    check: async () => {
      const url = `${site.entries[0]!.operatorsUrl}/status`;
      const {text} = await send({url, method: 'GET'});
      return text.split('"usable"').length === 3;
    },
  });
});

afterAll(async () => {
  await site?.close();
  await target?.close();
});

function respond(res: ServerResponse, segments: readonly string[]): void {
  const [root = '', size = '0'] = segments;
  if (root === 'health') {
    res.end('{"running":0,"capacity":9}');
    return;
  }
  calls += 1;
  if (root === 'status') {
    res.writeHead(Number(size), {'x-kept': 'yes'}).end();
    return;
  }
  res.end(Buffer.alloc(Number(size), 'x'));
}

async function addTarget(service: string): Promise<void> {
  const vm = `${service}-1`;
  const agent = await site.harness.startDaemon({
    role: 'agent',
    settings: {
      vm,
      dataCentre: 'waw',
      site: 'waw',
      platformUrl: site.platform.url,
      'target.kind': 'service',
      'target.url': target.url,
      'target.service': service,
    },
  });
  await site.register({
    name: vm,
    role: 'target',
    dataCentre: 'waw',
    peerPort: agent.peersPort,
    service,
  });
}

function call(service: string, path: string, key = '') {
  const url = `${site.entries[0]!.callersUrl}/services/${service}${path}`;
  const headers = {'idempotency-key': key};
  return send({url, headers, body: '{}'});
}

describe('a response of a plain service', () => {
  it('is forwarded up to the size limit, which fits in one frame', async () => {
    expect(MAX_RESPONSE_BYTES).toBeLessThan(MAX_FRAME_BYTES);
    const res = await call('stock', `/bytes/${MAX_RESPONSE_BYTES}`);
    expect([res.status, res.text.length]).toEqual([200, MAX_RESPONSE_BYTES]);
  });

  it('over the limit is refused, and the call is not retried', async () => {
    const before = calls;
    const res = await call('stock', `/bytes/${OVERSIZED_BYTES}`);
    expect(res.status).toBe(502);
    expect(JSON.parse(res.text)).toMatchObject({
      reason: RefusalReason.RESPONSE_TOO_LARGE,
      ran: 'yes',
    });
    expect(calls).toBe(before + 1);
  });

  it('over the limit never causes a second execution of a booking', async () => {
    const before = calls;
    for (let i = 0; i < 2; i++) {
      const res = await call('orders', `/bytes/${OVERSIZED_BYTES}`, 'large-1');
      expect(res.status).toBe(502);
      expect(JSON.parse(res.text)).not.toMatchObject({ran: 'no'});
    }
    expect(calls).toBe(before + 1);
  });

  it.each([204, 205, 304, 400, 404, 503, 599])(
    'keeps status %i',
    async (status) => {
      const res = await call('stock', `/status/${status}`);
      expect([res.status, res.headers['x-kept']]).toEqual([status, 'yes']);
    },
  );

  // 599 is the last status of HTTP (RFC 9110): the rest is no response.
  it.each([600, 799, 999])('is no response with status %i', async (status) => {
    const res = await call('stock', `/status/${status}`);
    expect([502, 504]).toContain(res.status);
    expect(res.headers['x-kept']).toBeUndefined();
    expect(JSON.parse(res.text)).not.toMatchObject({ran: 'no'});
  });
});
