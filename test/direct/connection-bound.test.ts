/** Plain calls at a target whose connections are all in use. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {API_KEY, SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

/** Open connections that the service allows to a target. */
const CONNECTIONS = 20;

const CROWD = 3 * CONNECTIONS;

const WORK_MS = 100;

const OTHER_KEY = 'key-of-b';

describe('calls beyond the connections to their target', () => {
  const agent = new Agent();
  let site: DirectSite;
  let target: StandInTarget;

  beforeEach(async () => {
    site = await DirectSite.start({config: {otherKeys: [OTHER_KEY]}});
    target = await add(WORK_MS);
  });

  afterEach(async () => {
    agent.destroy();
    await site.stop();
  });

  const add = (workMs: number) =>
    site.addTarget({service: SiteService.DESK, zone: 'a', workMs});

  const call = (options: {path?: SitePath; key?: string; ms?: number} = {}) => {
    const {path = SitePath.UNSAFE, key, ms: deadlineMs} = options;
    return site.call({path, key, deadlineMs, body: 'order', agent});
  };

  const callAtOnce = (count: number, path = SitePath.UNSAFE) =>
    Array.from({length: count}, () => call({path}));

  /** Takes all connections until `leave` is called. */
  const holdAll = async (holding: StandInTarget): Promise<() => void> => {
    const leaving = new AbortController();
    holding.isUnresponsive = true;
    const before = holding.arrivedAtMs.length;
    const held = Array.from({length: CONNECTIONS}, () =>
      site.call({path: SitePath.UNSAFE, agent, signal: leaving.signal}),
    );
    void Promise.allSettled(held);
    await waitFor(() => holding.arrivedAtMs.length >= before + CONNECTIONS);
    holding.isUnresponsive = false;
    return () => leaving.abort();
  };

  it.each([{path: SitePath.SAFE}, {path: SitePath.UNSAFE}])(
    'wait for one and run once: $path',
    async ({path}) => {
      const replies = await Promise.all(callAtOnce(CROWD, path));
      expect(replies.map(({status}) => status)).toEqual(Array(CROWD).fill(200));
      expect(target.runs.length).toBe(CROWD);
      const text = await site.entries[0]!.metrics.render();
      expect(text).toContain('retries_total{reason="call_lost"} 0');
    },
  );

  it('take turns with those of another client account', async () => {
    const leave = await holdAll(target);
    const {memory} = site.entries[0]!;
    // The memory of their bodies shows that they have arrived.
    const send = (key: string, letter: string) => {
      const body = letter.repeat(17 * 1024);
      return site.call({path: SitePath.UNSAFE, key, body, agent});
    };
    const crowd = Array.from({length: CROWD}, () => send(API_KEY, 'x'));
    await waitFor(() => memory.usedBytes === CROWD * 1024);
    const other = send(OTHER_KEY, 'y');
    await waitFor(() => memory.usedBytes === (CROWD + 1) * 1024);
    leave();
    await other;
    const place = target.runs.findIndex(({body}) => body.startsWith('y'));
    expect(place).toBeLessThan(CONNECTIONS);
    await Promise.all(crowd);
  });

  it('go to another target that comes', async () => {
    const leave = await holdAll(target);
    const waiting = callAtOnce(3);
    const other = await add(0);
    const replies = await Promise.all(waiting);
    expect(replies.map(({status}) => status)).toEqual([200, 200, 200]);
    expect(other.runs.length).toBe(3);
    leave();
  });

  it('are refused once they cannot be served in time', async () => {
    const leave = await holdAll(target);
    const startedMs = performance.now();
    const {status, headers} = await call({ms: 600});
    const heldMs = performance.now() - startedMs;
    expect(status).toBe(503);
    expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    expect(heldMs).toBeGreaterThan(400);
    expect(heldMs).toBeLessThan(700);
    expect(target.runs.length).toBe(0);
    leave();
    expect((await call()).status).toBe(200);
  });

  it('do not run if their callers leave', async () => {
    const leave = await holdAll(target);
    const gone = new AbortController();
    const left = site.call({path: SitePath.UNSAFE, agent, signal: gone.signal});
    void left.catch(() => undefined);
    await sleep(WORK_MS);
    gone.abort();
    await sleep(WORK_MS);
    leave();
    expect((await call()).status).toBe(200);
    expect(target.runs.length).toBe(1);
  });
});

describe('streams beyond the connections to their target', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start({config: {streamTimeoutMs: 8_000}});
  });

  afterEach(() => site.stop());

  it('wait for one longer than attempts may fail', async () => {
    const pace = {events: 15, firstMs: 50, gapMs: 100};
    await site.addTarget({service: SiteService.WRITERS, zone: 'a', pace});
    const agent = new Agent();
    const streams = Array.from({length: CONNECTIONS + 1}, () =>
      site.call({path: SitePath.STREAM, agent, deadlineMs: 8_000}),
    );
    const replies = await Promise.all(streams);
    agent.destroy();
    expect(replies.map(({status}) => status)).toEqual(
      Array(CONNECTIONS + 1).fill(200),
    );
    expect(site.targets[0]!.runs.length).toBe(CONNECTIONS + 1);
  });
});
