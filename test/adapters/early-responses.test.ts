/**
 * Responses that a target or the store breaks off while the request is still
 * being written, and responses whose status is none of the protocol.
 */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {StoreSource, StoreWriter} from '../../platform/store-client.js';
import {TargetClient} from '../../platform/target-client.js';
import {HttpEngineDriver, HttpServiceDriver} from '../../src/adapters/index.js';
import type {Exchange} from '../../src/core/edges/direct-target.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {TargetRecord} from '../../src/core/targets/index.js';
import {
  BROKEN_RESPONSES,
  EarlyResponse,
  INVALID_STATUSES,
  sendEarlyResponse,
} from '../../stand-ins/site/early-response.js';
import {createSpec} from '../support/generation.js';
import {silentSupervisor} from '../support/supervisor.js';

/** Longer than any row needs. */
const TIMEOUT_MS = 8_000;

/** How often a row is played, as its outcome may be a race. */
const PLAYS = 5;

/** More than a connection holds on its way, so that a part is not written. */
const HUGE_BYTES = 16 * 1024 * 1024;

const LARGE_BYTES = 3 * 1024 * 1024;

const MEDIUM_BYTES = 300 * 1024;

/** Passes for a complete body in the eyes of each caller. */
const BODY = JSON.stringify({
  active: 1,
  queued: 0,
  kv_used: 0,
  running: 1,
  capacity: 8,
  handle: 'c-1',
  entries: [],
  events: [],
  at: 1,
});

const ATTEMPT = {name: 'Attempt-Id', value: 'a-1'};

const timeoutMs = TIMEOUT_MS;

const metrics = new Metrics();

const targets = new TargetClient({supervisor: silentSupervisor()});

/** Makes a call; returns whether it got a complete response. */
type Call = (address: string) => Promise<boolean>;

interface Caller {
  readonly what: string;
  readonly call: Call;
}

const UPLOADS: readonly Caller[] = [LARGE_BYTES, MEDIUM_BYTES].flatMap(
  (bytes) => [
    {
      what: `an unsafe request of ${bytes} bytes`,
      call: (address) => exchange(address, bytes),
    },
    {
      what: `a call through an agent of ${bytes} bytes`,
      call: (address) => callService(address, bytes),
    },
    {
      what: `a write of ${bytes} bytes to the store`,
      call: async (address) => {
        const kind = StoreObjectKind.LOSSES;
        const url = `http://${address}`;
        const writer = new StoreWriter<string>({url, kind, metrics});
        return (await writer.upsert('a', 'x'.repeat(bytes))).isOk();
      },
    },
  ],
);

const SMALL_CALLS: readonly Caller[] = [
  {what: 'a safe request', call: (address) => exchange(address, 0)},
  {what: 'a call through an agent', call: (address) => callService(address, 0)},
  {
    what: 'a load report',
    call: async (address) =>
      (await targets.queryLoad(recordOf(address), timeoutMs)).isOk(),
  },
  {
    what: 'a health check',
    call: async (address) => {
      const target = recordOf(address);
      return (await targets.probeHealth({target, path: '/', timeoutMs})).isOk();
    },
  },
  {
    what: 'a copy of a KV cache',
    call: async (address) => {
      const source = recordOf(address);
      const copy = {source, attemptId: 'a', destination: 'i-2'};
      return (await targets.copyKvCache(copy)).isOk();
    },
  },
  {
    what: 'a probe of an agent',
    call: async (address) => {
      const driver = new HttpServiceDriver({baseUrl: `http://${address}`});
      return (await driver.probe({timeoutMs})).isOk();
    },
  },
  {
    what: 'a list of the store',
    call: async (address) => (await sourceOf(address).list()).isOk(),
  },
  {
    what: 'a watch of the store',
    call: async (address) => {
      const query = {since: 1, waitMs: timeoutMs};
      return (await sourceOf(address).waitForChanges(query)).isOk();
    },
  },
  {what: 'a generation of an agent', call: generate},
];

const CALLERS = [...UPLOADS, ...SMALL_CALLS];

describe('an early response', () => {
  let server: Server;
  let address: string;
  let kind: EarlyResponse;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    server = createServer((req) =>
      sendEarlyResponse({req, kind, targetId: 'i-1', body: BODY}),
    );
    server.on('connection', (socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  async function play({call}: Caller): Promise<number> {
    let whole = 0;
    for (let i = 0; i < PLAYS; i++) if (await call(address)) whole++;
    return whole;
  }

  it.each(CALLERS.flatMap((row) => BROKEN_RESPONSES.map((k) => ({...row, k}))))(
    'to $what is not complete: $k',
    async ({k, ...caller}) => {
      kind = k;
      expect(await play(caller)).toBe(0);
    },
  );

  it.each(CALLERS.flatMap((row) => INVALID_STATUSES.map((k) => ({...row, k}))))(
    'to $what is no response: $k',
    async ({k, ...caller}) => {
      kind = k;
      expect(await play(caller)).toBe(0);
    },
  );

  it.each([
    {
      what: 'a request',
      call: (where: string) => exchange(where, HUGE_BYTES),
    },
    {
      what: 'a call through an agent',
      call: (where: string) => callService(where, HUGE_BYTES),
    },
  ])('to $what that is not written yet is not complete', async (caller) => {
    kind = EarlyResponse.END;
    expect(await play(caller)).toBe(0);
  });

  it.each([
    {what: 'a request', call: (where: string) => exchange(where, 0)},
    {
      what: 'a call through an agent',
      call: (where: string) => callService(where, 0),
    },
  ])('to $what that was written is complete', async (caller) => {
    kind = EarlyResponse.END;
    expect(await play(caller)).toBe(PLAYS);
  });

  it.each([{kind: EarlyResponse.END}, {kind: EarlyResponse.RESET}])(
    'that is paused waits for its reader and ends as it came: $kind',
    async (row) => {
      kind = row.kind;
      const isWhole = await exchange(address, 0, {pauseMs: 50});
      expect(isWhole).toBe(row.kind === EarlyResponse.END);
    },
  );
});

/** Sends a request as an entry on the platform does. */
function exchange(
  address: string,
  bytes: number,
  {pauseMs}: {pauseMs?: number} = {},
): Promise<boolean> {
  return new Promise((resolve) => {
    let hasPaused = false;
    const pause = (ms: number) => {
      hasPaused = true;
      sent.pause();
      setTimeout(() => sent.resume(), ms);
    };
    const sent: Exchange = targets.send({
      target: recordOf(address),
      maxConnections: 20,
      req: {
        attemptId: ATTEMPT.value,
        method: bytes > 0 ? 'POST' : 'GET',
        path: '/',
        headers: [ATTEMPT],
        body: new Uint8Array(bytes),
        leftMs: timeoutMs,
      },
      listener: {
        onNotice: () => undefined,
        onHead: () => undefined,
        onData: () => {
          if (pauseMs !== undefined && !hasPaused) pause(pauseMs);
        },
        onComplete: () => resolve(true),
        onFailure: () => resolve(false),
      },
    });
  });
}

/** Makes a plain call as an agent does. */
async function callService(address: string, bytes: number): Promise<boolean> {
  const driver = new HttpServiceDriver({baseUrl: `http://${address}`});
  const method = bytes > 0 ? 'POST' : 'GET';
  const body = new Uint8Array(bytes);
  const req = {method, path: '/', headers: [], body};
  return (await driver.call({req, timeoutMs})).isOk();
}

/** Returns whether a generation ends other than with its loss. */
function generate(address: string): Promise<boolean> {
  const driver = new HttpEngineDriver({baseUrl: `http://${address}`});
  return new Promise((resolve) => {
    driver.generate({
      requestId: 'r',
      spec: createSpec({}),
      resumeFrom: [],
      sink: {
        onTokens: () => resolve(true),
        onFinish: () => resolve(true),
        onFailure: () => resolve(false),
      },
    });
  });
}

function sourceOf(address: string): StoreSource {
  const kind = StoreObjectKind.CONFIG;
  return new StoreSource({url: `http://${address}`, kind, metrics});
}

function recordOf(address: string): TargetRecord {
  return {
    id: 'i-1',
    service: 'desk',
    dataCentre: 'a',
    address,
    isDraining: false,
    startedAtMs: 1,
    slots: 8,
  };
}
