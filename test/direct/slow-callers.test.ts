/** Callers that do not read, and what an entry and its targets do meanwhile. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  API_KEY,
  HOST,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const ZONES = ['a', 'b'];

const EVENTS = 300;

/** Together more than the buffers of all connections hold. */
const PADDING_BYTES = 100_000;

const MAX_UNREAD_MS = 200;

/** Time for which the caller does not read, in milliseconds. */
const PAUSE_MS = 1_500;

/** Events whose incomplete parts are too small to be counted. */
const SMALL_PADDING_BYTES = 12_000;

const SMALL_EVENTS = 4_000;

const WAIT_MS = 20;

const MAX_WAITS = 500;

/** Most runs of a stream whose reader pauses once. */
const MAX_RUNS = 3;

describe('a caller that stops reading its stream', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    const pace = {
      events: EVENTS,
      firstMs: 10,
      gapMs: 0,
      paddingBytes: PADDING_BYTES,
      maxUnreadMs: MAX_UNREAD_MS,
    };
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace})));
  });

  afterEach(() => site.stop());

  const sum = (count: (target: DirectSite['targets'][number]) => number) =>
    site.targets.map(count).reduce((a, b) => a + b, 0);

  it('gets the rest when it reads on, though targets cut it off', async () => {
    const {socket, received} = openStream(site.port);
    await waitFor(() => sum(({runs}) => runs.length) > 0);
    await sleep(PAUSE_MS);
    expect(sum(({cutUnread}) => cutUnread)).toBe(1);
    expect(sum(({runs}) => runs.length)).toBe(1);
    const text = received();
    socket.resume();
    const ids = [...(await text).matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    expect(ids).toEqual(Array.from({length: EVENTS}, (_, i) => String(i + 1)));
    expect(sum(({runs}) => runs.length)).toBeLessThanOrEqual(MAX_RUNS);
    const metrics = await site.entries[0]!.metrics.render();
    expect(metrics).toMatch(/retries_total{reason="caller_slow"} [1-9]/);
    expect(metrics).toMatch(/retries_total{reason="engine_died"} 0/);
  });
});

describe('what waits for a caller that does not read', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    const pace = {
      events: SMALL_EVENTS,
      firstMs: 10,
      gapMs: 0,
      paddingBytes: SMALL_PADDING_BYTES,
    };
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace})));
  });

  afterEach(() => site.stop());

  it('is counted until it is sent or the caller leaves', async () => {
    const {memory} = site.entries[0]!;
    const {socket} = openStream(site.port);
    await waitFor(() => site.targets.some(({runs}) => runs.length > 0));
    for (let i = 0; i < MAX_WAITS && memory.usedBytes === 0; i++)
      await sleep(WAIT_MS);
    expect(memory.usedBytes).toBeGreaterThan(0);
    socket.destroy();
    await waitFor(() => memory.usedBytes === 0);
  });
});

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Asks for a stream and reads nothing until `resume`. */
function openStream(port: number): {
  socket: Socket;
  received: () => Promise<string>;
} {
  const socket = connect({host: '127.0.0.1', port});
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(
    [
      `POST ${SitePath.STREAM} HTTP/1.1`,
      `Host: ${HOST}`,
      `Authorization: Token ${API_KEY}`,
      'Attempt-Id: try-1',
      'Deadline-Ms: 20000',
      'Connection: close',
      'Content-Length: 0',
      '\r\n',
    ].join('\r\n'),
  );
  const received = () =>
    new Promise<string>((resolve) => {
      let text = '';
      socket.on('data', (chunk) => (text += chunk.toString('latin1')));
      socket.on('close', () => resolve(text));
    });
  return {socket, received};
}
