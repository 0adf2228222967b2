import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {BoundedSocket} from '../../src/adapters/bounded-socket.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startControl} from '../../stand-ins/relay/control.js';
import {Relay} from '../../stand-ins/relay/relay.js';
import {startService} from '../../stand-ins/service/server.js';
import {getJson, post} from '../support/http.js';

const ADDRESS = '127.0.0.1';
/** Time without a response that shows that no data is forwarded. */
const QUIET_MS = 150;

/** What precedes a reset, which may arrive together with it or later. */
const PART = 'part';
const RESET_PLAYS = 20;

let service: RunningServer;
let relay: Relay;
let control: RunningServer;
let url: string;

beforeEach(async () => {
  service = await startService({delayMs: 0});
  relay = new Relay({
    address: ADDRESS,
    port: 0,
    toHost: ADDRESS,
    toPort: service.port,
  });
  await relay.listen();
  control = await startControl({relay, address: ADDRESS, port: 0});
  url = `http://${ADDRESS}:${relay.port}`;
});

afterEach(async () => {
  await relay.close();
  await control.close();
  await service.close();
});

function book(signal?: AbortSignal): Promise<Response> {
  return fetch(`${url}/bookings`, {method: 'POST', signal});
}

async function countBookings(): Promise<number> {
  const {perKey} = await getJson<{perKey: Array<{count: number}>}>(
    `${service.url}/counts`,
  );
  return perKey.reduce((sum, {count}) => sum + count, 0);
}

describe('Relay', () => {
  it('forwards data in both directions', async () => {
    expect((await book()).status).toBe(201);
  });

  it('holds data back while cut and forwards it once restored', async () => {
    await book();
    await post(`${control.url}/cut`);
    const silent = book(AbortSignal.timeout(QUIET_MS));
    await expect(silent).rejects.toThrow('timeout');
    expect(await countBookings()).toBe(1);
    const held = book();
    await post(`${control.url}/mend`);
    expect((await held).status).toBe(201);
  });

  it('resets open connections', async () => {
    await post(`${service.url}/faults`, {kind: 'stall'});
    const pending = book();
    const rejected = expect(pending).rejects.toThrow();
    await expect(book(AbortSignal.timeout(QUIET_MS))).rejects.toThrow();
    await post(`${control.url}/reset`);
    await rejected;
  });

  it('keeps the order of bytes when a delay ends', async () => {
    await post(`${control.url}/delay`, {ms: 50});
    const body = 'x'.repeat(500_000);
    const held = fetch(`${url}/bookings`, {
      method: 'POST',
      body: JSON.stringify({body}),
    });
    await sleep(10);
    await post(`${control.url}/mend`);
    expect((await held).status).toBe(201);
  });

  it('delays each direction and keeps the order of bytes', async () => {
    await post(`${control.url}/delay`, {ms: 5});
    const item = 'x'.repeat(5_000);
    const responses = await Promise.all(
      [1, 2, 3].map((n) => getJson(`${url}/stock/${item}${n}`)),
    );
    const items = [1, 2, 3].map((n) => ({item: `${item}${n}`}));
    expect(responses).toMatchObject(items);
  });

  it('forwards a reset that follows data at once as a reset', async () => {
    const server = createServer((socket) => {
      socket.once('data', () => {
        socket.write(PART, () => socket.resetAndDestroy());
      });
    });
    server.listen(0, ADDRESS);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const toResetting = new Relay({
      address: ADDRESS,
      port: 0,
      toHost: ADDRESS,
      toPort: port,
    });
    await toResetting.listen();
    for (let play = 0; play < RESET_PLAYS; play++) {
      const socket = new BoundedSocket({responseBytes: PART.length});
      const ends: string[] = [];
      socket.on('readable', () => socket.read());
      socket.on('end', () => ends.push('end'));
      socket.on('error', () => ends.push('error'));
      socket.connect({host: ADDRESS, port: toResetting.port});
      socket.write('request');
      await new Promise((resolve) => socket.on('close', resolve));
      expect(ends).toEqual(['error']);
    }
    await toResetting.close();
    server.close();
  });
});
