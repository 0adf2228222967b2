/**
 * Responses that a target or the store breaks off while the request is still
 * being written, and responses whose status is none of the protocol.
 */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {StoreWriter} from '../../platform/store-client.js';
import {
  BROKEN_RESPONSES,
  EarlyResponse,
  INVALID_STATUSES,
  sendEarlyResponse,
} from '../../stand-ins/site/early-response.js';
import type {OutgoingCall} from '../support/outgoing-calls.js';
import {
  callService,
  exchange,
  metrics,
  SMALL_CALLS,
} from '../support/outgoing-calls.js';

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

const UPLOADS: readonly OutgoingCall[] = [LARGE_BYTES, MEDIUM_BYTES].flatMap(
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

  async function play({call}: OutgoingCall): Promise<number> {
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
