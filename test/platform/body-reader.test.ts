/** Bodies that are refused before their end. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  BodyProblem,
  discardBody,
  readBody,
} from '../../platform/body-reader.js';
import {MemoryBudget} from '../../src/core/bytes/index.js';
import {SystemClock} from '../../src/core/clock/index.js';
import {waitFor} from '../support/direct-site.js';

const BODY_BYTES = 900 * 1024;
const DEADLINE_MS = 100;
const MAX_BYTES = 4 * 1024 * 1024;

describe('a body that is too slow', () => {
  const clock = new SystemClock();
  const memory = new MemoryBudget({limitBytes: MAX_BYTES});
  let server: Server;
  let socket: Socket;
  let received: string;

  beforeEach(async () => {
    received = '';
    server = createServer((req, res) => void answer(req, res));
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = server.address() as AddressInfo;
    socket = connect({host: '127.0.0.1', port});
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
  });

  afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  async function answer(req: IncomingMessage, res: ServerResponse) {
    const share = memory.open();
    const limits = {maxBytes: MAX_BYTES, deadlineMs: DEADLINE_MS};
    const body = await readBody(req, {...limits, share, clock});
    share.release();
    res.statusCode = body === BodyProblem.TOO_SLOW ? 408 : 200;
    res.end();
    if (body === BodyProblem.TOO_SLOW) discardBody(req, {clock, share});
  }

  // Guards against a connection that stalls after a refused body (LOST).
  it('leaves its connection to the next request', async () => {
    const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
    socket.write(head + 'x'.repeat(BODY_BYTES / 2));
    await waitFor(() => received.includes('HTTP/1.1 408'));
    socket.write('x'.repeat(BODY_BYTES / 2));
    await sleep(DEADLINE_MS);
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitFor(() => received.includes('HTTP/1.1 200'));
    expect(received.match(/HTTP\/1\.1 \d+/g)).toHaveLength(2);
  });
});
