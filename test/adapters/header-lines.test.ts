/** What the header lines of responses cost the process that reads them. */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import {MemoryBudget} from '../../src/core/bytes/index.js';
import {waitFor} from '../support/direct-site.js';
import {LineForm, sendLines} from '../support/header-lines.js';
import {exchange, SMALL_CALLS} from '../support/outgoing-calls.js';
import {silentSupervisor} from '../support/supervisor.js';

/** Time in which a response that brings too many lines at once is cut off. */
const MAX_FAST_MS = 700;

/** The same for one that brings them slowly: 3 s for a head, and some more. */
const MAX_SLOW_MS = 4_000;

const SLOW_FORMS: ReadonlySet<LineForm> = new Set([
  LineForm.SLOW,
  LineForm.SLOW_BYTES,
]);

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

/** One token of an engine. */
const TOKEN_EVENT = `data: ${JSON.stringify({
  choices: [{index: 0, text: 'a', token_ids: [1], finish_reason: null}],
})}\n\n`;

const ORDINARY = {
  'Attempt-Id': 'a-1',
  'Server-Stamp': 's',
  'Instance-Id': 'i-1',
};

/** Calls whose responses must not name an attempt. */
const CONTROL_CALLS = /^(a load report|a copy of a KV cache)$/;

describe('header lines', () => {
  let server: Server;
  let address: string;
  let respond: (socket: Socket) => void;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    server = createServer((req) => respond(req.socket));
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

  // Guards against heads of many short lines that fill the heap (review/11).
  it.each(
    SMALL_CALLS.flatMap((row) =>
      Object.values(LineForm).map((form) => ({...row, form})),
    ),
  )('to $what are cut off: $form', async ({call, form}) => {
    respond = (socket) => sendLines(socket, form);
    const startMs = performance.now();
    await call(address);
    await closed(sockets[0]!);
    const maxMs = SLOW_FORMS.has(form) ? MAX_SLOW_MS : MAX_FAST_MS;
    expect(performance.now() - startMs).toBeLessThan(maxMs);
  });

  it.each(
    [100, 400].flatMap((fields) =>
      SMALL_CALLS.map((row) => ({...row, fields})),
    ),
  )('to $what may be $fields', async ({what, call, fields}) => {
    const isControl = CONTROL_CALLS.test(what);
    respond = (socket) =>
      socket.write(
        toResponse({
          fields: isControl ? {} : ORDINARY,
          more: fields,
          body: toBody(what),
        }),
      );
    expect(await call(address)).toBe(true);
  });

  it('of a body are not counted, in pieces of any size', async () => {
    const body = '\n'.repeat(200_000);
    const chunks = '2\r\n\n\n\r\n'.repeat(20_000);
    for (const text of [
      toResponse({fields: ORDINARY, more: 200, body}),
      toChunked(chunks),
      `HTTP/1.1 102 Wait\r\na: b\r\n\r\n`.repeat(600) + toChunked('1\r\nx\r\n'),
    ]) {
      respond = (socket) => socket.write(text);
      expect(await exchange(address, 0)).toBe(true);
    }
  });

  it('of all responses stay within the memory for messages', async () => {
    const limitBytes = 2 * 1024 * 1024;
    const memory = new MemoryBudget({limitBytes});
    const targets = new TargetClient({supervisor: silentSupervisor(), memory});
    const head = toResponse({fields: ORDINARY, more: 480, body: 'unfinished'});
    respond = (socket) => socket.write(head.slice(0, -1));
    let failed = 0;
    let begun = 0;
    const count = 40;
    const sent = Array.from({length: count}, () =>
      targets.send({
        target: {
          id: 'i-1',
          service: 'desk',
          dataCentre: 'a',
          address,
          isDraining: false,
          startedAtMs: 1,
          slots: 8,
        },
        maxConnections: count,
        req: {
          attemptId: 'a-1',
          method: 'GET',
          path: '/',
          headers: [],
          body: new Uint8Array(),
          leftMs: 8_000,
        },
        listener: {
          onNotice: () => undefined,
          onHead: () => begun++,
          onData: () => undefined,
          onComplete: () => undefined,
          onFailure: () => failed++,
        },
      }),
    );
    await waitFor(() => begun === count && failed > 0);
    expect(memory.usedBytes).toBeGreaterThan(limitBytes / 2);
    expect(memory.usedBytes).toBeLessThanOrEqual(limitBytes);
    for (const exchanged of sent) exchanged.cancel();
    await waitFor(() => memory.usedBytes === 0);
  });
});

function closed(socket: Socket): Promise<void> {
  if (socket.destroyed) return Promise.resolve();
  return new Promise((resolve) => socket.once('close', () => resolve()));
}

/** A body that passes for a complete one in the eyes of a caller. */
function toBody(what: string): string {
  return what === 'a generation of an agent' ? TOKEN_EVENT : BODY;
}

function toResponse(options: {
  fields: Readonly<Record<string, string>>;
  /** Fields on top of those. */
  more: number;
  body: string;
}): string {
  const {fields, more, body} = options;
  const named = Object.entries(fields).map(([k, v]) => `${k}: ${v}\r\n`);
  const others = Array.from({length: more}, (_, i) => `X-${i}: some value\r\n`);
  const length = `Content-Length: ${body.length}\r\n`;
  const head = [...named, ...others, length].join('');
  return `HTTP/1.1 200 OK\r\n${head}\r\n${body}`;
}

function toChunked(chunks: string): string {
  const fields = Object.entries(ORDINARY).map(([k, v]) => `${k}: ${v}\r\n`);
  const head = `${fields.join('')}Transfer-Encoding: chunked\r\n`;
  return `HTTP/1.1 200 OK\r\n${head}\r\n${chunks}0\r\n\r\n`;
}
