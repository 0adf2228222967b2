/** Large bodies that a target takes in slowly or not at all. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {MAX_HELD_BYTES} from '../../src/core/targets/body-allowance.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {SiteResponse} from '../../tools/lab/site-caller.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const BODY_BYTES = 3 * 1024 * 1024;

const CALLERS = 12;

/** Longer than the test needs. */
const DEADLINE_MS = 20_000;

/** Shorter than the timeout of the route. */
const SHORT_DEADLINE_MS = 1_000;

describe('large bodies to a target that does not respond', () => {
  const agent = new Agent();
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    await site.addTarget({service: SiteService.DESK, zone: 'a'});
  });

  afterEach(() => {
    agent.destroy();
    return site.stop();
  });

  const send = (
    bytes: number,
    signal?: AbortSignal,
    deadlineMs = DEADLINE_MS,
  ) =>
    site.call({
      path: SitePath.UNSAFE,
      body: 'x'.repeat(bytes),
      deadlineMs,
      agent,
      signal,
    });

  /** Sends the target as much as it is sent at once, to no response. */
  const fill = async (signal: AbortSignal) => {
    const [target] = site.targets;
    target!.isUnresponsive = true;
    const fitting = Math.floor(MAX_HELD_BYTES / BODY_BYTES);
    const calls = Array.from({length: fitting}, () => send(BODY_BYTES, signal));
    await waitFor(() => target!.arrivedAtMs.length >= fitting);
    return {target: target!, fitting, settled: Promise.allSettled(calls)};
  };

  it('wait beyond what it is sent at once, and are refused when late', async () => {
    const leaving = new AbortController();
    const {target, fitting, settled} = await fill(leaving.signal);
    const refused: SiteResponse[] = [];
    const calls = Array.from({length: CALLERS - fitting}, async () => {
      refused.push(await send(BODY_BYTES, undefined, SHORT_DEADLINE_MS));
    });
    const {memory, metrics} = site.entries[0]!;
    const countedBytes = CALLERS * (BODY_BYTES - 16 * 1024);
    await waitFor(() => memory.usedBytes === countedBytes);
    expect(refused).toEqual([]);
    await Promise.all(calls);
    expect(target.arrivedAtMs.length).toBe(fitting);
    for (const {status, headers} of refused) {
      expect(status).toBe(503);
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    }
    const text = await metrics.render();
    expect(text).toContain('retries_total{reason="target_refused"} 0');
    leaving.abort();
    await settled;
    await waitFor(() => memory.usedBytes === 0);
    target.isUnresponsive = false;
    expect((await send(10)).status).toBe(200);
    expect((await send(BODY_BYTES)).status).toBe(200);
  });

  it('let small ones pass while they wait, and go in their turn', async () => {
    const leaving = new AbortController();
    const {target, settled} = await fill(leaving.signal);
    target.isUnresponsive = false;
    const large = send(BODY_BYTES);
    const {memory} = site.entries[0]!;
    const before = memory.usedBytes;
    await waitFor(() => memory.usedBytes > before);
    expect((await send(10)).status).toBe(200);
    expect(target.runs.length).toBe(1);
    leaving.abort();
    expect((await large).status).toBe(200);
    expect(target.runs.length).toBe(2);
    await settled;
  });

  it('that are held back go elsewhere and blame no target', async () => {
    const [silent] = site.targets;
    silent!.isUnresponsive = true;
    const leaving = new AbortController();
    const fitting = Math.floor(MAX_HELD_BYTES / BODY_BYTES);
    const calls = Array.from({length: fitting}, () =>
      send(BODY_BYTES, leaving.signal),
    );
    await waitFor(() => silent!.arrivedAtMs.length >= fitting);
    const other = await site.addTarget({service: SiteService.DESK, zone: 'a'});
    other.isUnresponsive = true;
    // Both targets hold as much of this, so either may be chosen next.
    const small = Array.from({length: CALLERS}, () => send(1, leaving.signal));
    await waitFor(
      () =>
        silent!.arrivedAtMs.length + other.arrivedAtMs.length >=
        fitting + CALLERS,
    );
    other.isUnresponsive = false;
    const settled = Promise.allSettled([...calls, ...small]);
    const answers = await Promise.all(
      Array.from({length: fitting}, () => send(BODY_BYTES)),
    );
    expect(answers.map(({status}) => status)).toEqual(Array(fitting).fill(200));
    const text = await site.entries[0]!.metrics.render();
    const heldBack = /retries_total{reason="held_back"} (\d+)/.exec(text)?.[1];
    expect(Number(heldBack)).toBeGreaterThan(0);
    expect(text).toContain('retries_total{reason="target_refused"} 0');
    leaving.abort();
    await settled;
  });
});

describe('a large response', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    await site.addTarget({
      service: SiteService.DESK,
      zone: 'a',
      bodyBytes: BODY_BYTES,
    });
  });

  afterEach(() => site.stop());

  // Guards against sound targets that are shunned for the entry's own memory.
  it('that finds no memory fails its call, and blames no target', async () => {
    const [target] = site.targets;
    const {memory, process} = site.entries[0]!;
    const send = () => site.call({path: SitePath.SAFE, body: ''});
    memory.setLimit(BODY_BYTES / 2);
    for (let i = 0; i < CALLERS; i++) expect((await send()).status).toBe(502);
    expect(target!.arrivedAtMs.length).toBe(CALLERS);
    expect(memory.usedBytes).toBe(0);
    expect(process.usableTargetIds()).toContain(target!.id);
    memory.setLimit(2 * BODY_BYTES);
    expect((await send()).status).toBe(200);
  });
});
