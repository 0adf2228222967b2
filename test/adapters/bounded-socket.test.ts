/** What a peer can make a process read through one socket. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  BoundedSocket,
  MAX_BYTES_PER_TURN,
  TOO_MANY_BYTES_DETAIL,
} from '../../src/adapters/bounded-socket.js';

const SEED = 20261205;

const ENDLESS = Buffer.alloc(4 * 1024 * 1024, 'x');

describe('a bounded socket', () => {
  let server: Server;
  let accepted: Socket[];

  beforeEach(async () => {
    accepted = [];
    server = createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => undefined);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    for (const socket of accepted) socket.destroy();
    server.close();
  });

  /** Opens a connection and returns both of its ends. */
  async function open(responseBytes: number) {
    const {port} = server.address() as AddressInfo;
    const count = accepted.length;
    const socket = new BoundedSocket({responseBytes});
    socket.connect({host: '127.0.0.1', port});
    while (accepted.length === count) await nextTurn();
    return {socket, peer: accepted.at(-1)!};
  }

  it('hands over everything that is allowed, unchanged and in order', async () => {
    const size = fc.integer({min: 0, max: 100_000});
    await fc.assert(
      fc.asyncProperty(fc.array(size, {maxLength: 6}), async (sizes) => {
        const sent = sizes.map((length, i) => Buffer.alloc(length, i + 1));
        const expected = Buffer.concat(sent);
        const {socket, peer} = await open(expected.length + 1);
        const received = readAll(socket);
        for (const part of sent) peer.write(part);
        peer.end();
        expect((await received).equals(expected)).toBe(true);
      }),
      {seed: SEED, numRuns: 40},
    );
  });

  // Guards against one target that holds the event loop (review, case 1).
  it('hands over one slice in a turn of the event loop', async () => {
    const {socket, peer} = await open(ENDLESS.length);
    let inTurn = 0;
    let most = 0;
    let total = 0;
    socket.on('readable', () => {
      for (let chunk = socket.read(); chunk !== null; chunk = socket.read()) {
        if (inTurn === 0) setImmediate(() => (inTurn = 0));
        inTurn += chunk.length;
        total += chunk.length;
        most = Math.max(most, inTurn);
      }
    });
    peer.end(ENDLESS);
    await new Promise((resolve) => socket.once('end', resolve));
    expect(total).toBe(ENDLESS.length);
    expect(most).toBeLessThanOrEqual(MAX_BYTES_PER_TURN);
  });

  it('is closed by more bytes than a response may take', async () => {
    const {socket, peer} = await open(100_000);
    let total = 0;
    socket.on('readable', () => {
      for (let chunk = socket.read(); chunk !== null; chunk = socket.read())
        total += chunk.length;
    });
    const failed = new Promise<Error>((resolve) =>
      socket.once('error', resolve),
    );
    peer.write(ENDLESS);
    expect((await failed).message).toBe(TOO_MANY_BYTES_DETAIL);
    expect(total).toBeLessThanOrEqual(100_000 + MAX_BYTES_PER_TURN);
  });

  it.each([
    {name: 'a write', extend: (socket: BoundedSocket) => socket.write('next')},
    {name: 'a grant', extend: (socket: BoundedSocket) => socket.grant(10)},
  ])('reads on after $name', async ({extend}) => {
    const {socket, peer} = await open(10);
    let text = '';
    socket.on('readable', () => {
      for (let chunk = socket.read(); chunk !== null; chunk = socket.read())
        text += chunk.toString();
    });
    peer.write('0123456789');
    while (text.length < 10) await nextTurn();
    extend(socket);
    peer.write('abcde');
    while (text.length < 15) await nextTurn();
    expect(text).toBe('0123456789abcde');
    socket.destroy();
  });

  it('reads nothing after it was revoked', async () => {
    const {socket, peer} = await open(1_000);
    let total = 0;
    socket.on('readable', () => {
      for (let chunk = socket.read(); chunk !== null; chunk = socket.read())
        total += chunk.length;
    });
    socket.revoke();
    const failed = new Promise((resolve) => socket.once('error', resolve));
    peer.write('late');
    await failed;
    expect(total).toBe(0);
  });
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function readAll(socket: BoundedSocket): Promise<Buffer> {
  const chunks: Buffer[] = [];
  socket.on('readable', () => {
    for (let chunk = socket.read(); chunk !== null; chunk = socket.read())
      chunks.push(chunk);
  });
  return new Promise((resolve, reject) => {
    socket.once('end', () => resolve(Buffer.concat(chunks)));
    socket.once('error', reject);
  });
}
