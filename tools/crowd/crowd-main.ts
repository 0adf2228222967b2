/** Program that plays one crowd, which it reads from its standard input. */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

import type {CrowdPlan} from './crowd.js';
import {ClientAct, CROWD_CLIENTS, CROWD_PLAY_MS} from './crowd.js';

/** Size of one write of a client that sends ahead, in bytes. */
const WRITE_BYTES = 64 * 1024;

/** Most bytes that one client sends, in bytes. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** Times that a client writes its text before it ends its side. */
const HALF_CLOSE_TEXTS = 20_000;

/** Time between two connections of a client, in milliseconds. */
const RECONNECT_MS = 50;

/** Time between two bytes of a slow client, in milliseconds. */
const BYTE_MS = 1_000;

/** Time after which the program ends by itself, in milliseconds. */
const LIFE_MS = 60_000;

setTimeout(() => process.exit(1), LIFE_MS).unref();
const plan = JSON.parse(await readText(process.stdin)) as CrowdPlan;
const playMs = plan.playMs ?? CROWD_PLAY_MS;
const endMs = performance.now() + playMs;
const clients = plan.clients ?? CROWD_CLIENTS;
for (let i = 0; i < clients; i++) void playClient();
await sleep(playMs);
process.stdout.write('played\n');
await sleep(LIFE_MS);

function isPlaying(): boolean {
  return performance.now() < endMs;
}

/** Connects again after each connection until the play has ended. */
async function playClient(): Promise<void> {
  while (isPlaying()) {
    const socket = open();
    // `once` would reject after an error, which is as good as a close here.
    const closed = new Promise((resolve) => socket.on('close', resolve));
    socket.on('error', () => undefined);
    if (plan.resetAfterMs !== undefined)
      setTimeout(() => socket.resetAndDestroy(), plan.resetAfterMs);
    void act(socket).catch(() => undefined);
    await closed;
    await sleep(RECONNECT_MS);
  }
}

function open(): Socket {
  const {host, port} = plan;
  const onread = {buffer: Buffer.alloc(1), callback: () => false};
  const socket = connect({host, port, allowHalfOpen: true, onread});
  socket.pause();
  return socket;
}

async function act(socket: Socket): Promise<void> {
  const {opening = '', text} = plan;
  await once(socket, 'connect');
  if (opening !== '') socket.write(Buffer.from(opening, 'latin1'));
  const bytes = Buffer.from(text, 'latin1');
  switch (plan.act) {
    case ClientAct.SEND_AHEAD:
      await sendAhead(socket, bytes);
      break;
    case ClientAct.SEND_ONCE:
      socket.write(bytes);
      break;
    case ClientAct.DRIP:
      await drip(socket, bytes);
      break;
    case ClientAct.SIP:
      socket.write(bytes);
      await sip(socket);
      break;
    case ClientAct.HALF_CLOSE:
      socket.end(repeat(bytes, HALF_CLOSE_TEXTS));
      break;
  }
}

async function sendAhead(socket: Socket, bytes: Buffer): Promise<void> {
  const times = Math.max(1, Math.floor(WRITE_BYTES / bytes.length));
  const chunk = repeat(bytes, times);
  let sent = 0;
  while (isPlaying() && !socket.destroyed && sent < MAX_SENT_BYTES) {
    sent += chunk.length;
    if (!socket.write(chunk)) await once(socket, 'drain');
  }
}

async function drip(socket: Socket, bytes: Buffer): Promise<void> {
  for (let i = 0; i < bytes.length && !socket.destroyed; i++) {
    socket.write(bytes.subarray(i, i + 1));
    await sleep(BYTE_MS);
  }
}

async function sip(socket: Socket): Promise<void> {
  while (!socket.destroyed) {
    await sleep(BYTE_MS);
    socket.resume();
  }
}

function repeat(bytes: Buffer, times: number): Buffer {
  return Buffer.concat(Array.from({length: times}, () => bytes));
}
