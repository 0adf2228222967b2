/** Plain calls through a direct entry, with each kind of faulty target. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  HOST,
  API_KEY,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite} from '../support/direct-site.js';

interface Case {
  readonly fault: TargetFault;
  readonly path: SitePath;
  readonly status: number;
  /** Number of times that the call ran, at all targets together. */
  readonly runs: number;
  readonly isWhole?: boolean;
}

const {SAFE, UNSAFE} = SitePath;

/** The target in the entry's data centre is faulty; another one is not. */
const TARGET_FAULT_CASES: readonly Case[] = [
  {fault: TargetFault.NONE, path: SAFE, status: 200, runs: 1},
  {fault: TargetFault.NONE, path: UNSAFE, status: 200, runs: 1},
  {fault: TargetFault.ERROR, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.ERROR, path: UNSAFE, status: 500, runs: 1},
  {fault: TargetFault.REJECT, path: SAFE, status: 200, runs: 1},
  {fault: TargetFault.REJECT, path: UNSAFE, status: 503, runs: 0},
  {fault: TargetFault.CLOSE_CONNECTION, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.CLOSE_CONNECTION, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.TRUNCATED_BODY, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.TRUNCATED_BODY, path: UNSAFE, status: 502, runs: 1},
  {
    fault: TargetFault.NO_CONTENT_LENGTH_RESET,
    path: SAFE,
    status: 200,
    runs: 2,
  },
  {
    fault: TargetFault.NO_CONTENT_LENGTH_RESET,
    path: UNSAFE,
    status: 502,
    runs: 1,
  },
  {fault: TargetFault.WRONG_ATTEMPT_ID, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.WRONG_ATTEMPT_ID, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.NO_SERVER_STAMP, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.NO_SERVER_STAMP, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.UNPROVEN_REFUSAL, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.UNPROVEN_REFUSAL, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.UNPROVEN_LIMIT, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.ANONYMOUS_REFUSAL, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.ANONYMOUS_REFUSAL, path: UNSAFE, status: 502, runs: 1},
  {fault: TargetFault.HANG, path: SAFE, status: 200, runs: 2},
  {fault: TargetFault.HANG, path: UNSAFE, status: 504, runs: 1},
];

/** Connects, reports the connection, then sends its request and disconnects. */
const DISCONNECTING_CALLER = `
const {connect} = require('node:net');
const {parentPort, workerData} = require('node:worker_threads');
const {port, text} = workerData;
const socket = connect({host: '127.0.0.1', port}, () => {
  parentPort.postMessage('connected');
  setTimeout(() => socket.end(text), 50);
});
socket.on('error', () => undefined);
socket.resume();
`;

/**
 * Time for which the event loop of the entry is blocked, in milliseconds, so
 * that the request and the disconnect are both pending when it reads them.
 */
const BUSY_MS = 250;

function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

describe('a plain call', () => {
  let site: DirectSite;
  let near: StandInTarget;
  let far: StandInTarget;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.DESK;
    const zones = ['a', 'b'];
    const added = await site.addTargets(zones.map((zone) => ({service, zone})));
    [near, far] = added as [StandInTarget, StandInTarget];
  });

  afterEach(() => site.stop());

  it.each(TARGET_FAULT_CASES)(
    'to $path with target fault $fault responds $status',
    async (row) => {
      near.fault = row.fault;
      const reply = await site.call({path: row.path, body: 'order'});
      expect(reply.status).toBe(row.status);
      expect(near.runs.length + far.runs.length).toBe(row.runs);
      expect(reply.isComplete).toBe(true);
      if (reply.status === 200)
        expect(reply.text).toMatch(/^answer to try-\d+$/);
      const isRefusal = reply.status === 503;
      expect(reply.headers['retry-after'] !== undefined).toBe(isRefusal);
    },
  );

  it('forwards a response without Content-Length as it came', async () => {
    near.fault = TargetFault.NO_CONTENT_LENGTH;
    const reply = await site.call({path: UNSAFE});
    expect(reply.status).toBe(200);
    expect(reply.headers['content-length']).toBeUndefined();
    expect(reply.headers['transfer-encoding']).toBeUndefined();
    expect(reply.text).toBe('answer to try-1');
  });

  it('never returns a late second response to the next call', async () => {
    far.crash();
    near.fault = TargetFault.DUPLICATE_RESPONSE;
    for (let i = 1; i <= 8; i++) {
      const reply = await site.call({path: UNSAFE});
      if (reply.status === 200) expect(reply.text).toBe(`answer to try-${i}`);
      await new Promise((resolve) => setTimeout(resolve, i * 4));
    }
  });

  it.each([
    {fault: TargetFault.REPEAT_REJECTION},
    {fault: TargetFault.REPEAT_ANONYMOUS_REJECTION},
  ])(
    'is not refused by an earlier rejection that comes once more: $fault',
    async ({fault}) => {
      far.crash();
      near.fault = fault;
      for (let i = 1; i <= 4; i++) {
        const {status} = await site.call({path: UNSAFE, body: `order ${i}`});
        const hasRun = near.runs.some(({body}) => body === `order ${i}`);
        expect({i, status}).toEqual({i, status: hasRun ? 502 : 503});
      }
      expect(near.runs.length).toBeGreaterThan(0);
    },
  );

  // Guards against bytes of no request that answer the next one (REFUSED, MIXED).
  it.each([
    {fault: TargetFault.ANONYMOUS_REFUSAL},
    {fault: TargetFault.ANONYMOUS_SUCCESS},
  ])(
    'gets no response without id on a kept connection: $fault',
    async (row) => {
      far.crash();
      expect((await site.call({path: UNSAFE})).status).toBe(200);
      near.fault = row.fault;
      const {status, text} = await site.call({path: UNSAFE, body: 'order'});
      expect(near.runs.some(({body}) => body === 'order')).toBe(true);
      expect({status, isOld: text === 'old'}).toEqual({
        status: 502,
        isOld: false,
      });
    },
  );

  it('sends the client account to the target, but not the key', async () => {
    await site.call({
      path: SAFE,
      headers: {Tenant: 'someone', 'Kv-Hold': 'x', 'X-Own': 'kept'},
    });
    const {headers} = near.runs[0]!;
    expect(headers['tenant']).toBe('account-a');
    expect(headers['authorization']).toBeUndefined();
    expect(headers['kv-hold']).toBeUndefined();
    expect(headers['x-own']).toBe('kept');
    expect(headers['expect-instance']).toBe(near.id);
    expect(Number(headers['deadline-ms'])).toBeLessThanOrEqual(3_000);
  });

  it.each(['GET', 'POST'])(
    'forwards no %s request of a caller that has disconnected',
    async (method) => {
      const head = [
        `${method} ${UNSAFE} HTTP/1.1`,
        `Host: ${HOST}`,
        'Attempt-Id: gone',
        `Authorization: Token ${API_KEY}`,
        'Content-Length: 0',
      ];
      const text = `${head.join('\r\n')}\r\n\r\n`;
      const worker = new Worker(DISCONNECTING_CALLER, {
        eval: true,
        workerData: {port: site.port, text},
      });
      await once(worker, 'message');
      blockEventLoop(BUSY_MS);
      await once(worker, 'exit');
      await new Promise((resolve) => setTimeout(resolve, 50));
      expect([...near.runs, ...far.runs]).toEqual([]);
    },
  );

  it('is not refused as not run after a target has run it and failed', async () => {
    near.fault = TargetFault.ERROR;
    far.crash();
    const reply = await site.call({path: SAFE});
    expect(near.runs).toHaveLength(1);
    expect(reply.status).toBe(502);
  });

  it('is refused as not run when all targets have crashed', async () => {
    far.crash();
    near.crash();
    const reply = await site.call({path: UNSAFE});
    expect(reply.status).toBe(503);
  });
});
