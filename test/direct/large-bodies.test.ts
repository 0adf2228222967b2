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

  const send = (bytes: number, signal?: AbortSignal) =>
    site.call({
      path: SitePath.UNSAFE,
      body: 'x'.repeat(bytes),
      deadlineMs: DEADLINE_MS,
      agent,
      signal,
    });

  it('are refused beyond what it is sent at once, and small ones go on', async () => {
    const [target] = site.targets;
    target!.isUnresponsive = true;
    const leaving = new AbortController();
    const refused: SiteResponse[] = [];
    const calls = Array.from({length: CALLERS}, async () => {
      refused.push(await send(BODY_BYTES, leaving.signal));
    });
    const settled = Promise.allSettled(calls);
    const fitting = Math.floor(MAX_HELD_BYTES / BODY_BYTES);
    await waitFor(
      () =>
        target!.arrivedAtMs.length >= fitting &&
        refused.length >= CALLERS - fitting,
    );
    expect(target!.arrivedAtMs.length).toBe(fitting);
    expect(refused.length).toBe(CALLERS - fitting);
    for (const {status, headers} of refused) {
      expect(status).toBe(503);
      expect(headers['retry-after']).toBeDefined();
    }
    leaving.abort();
    await settled;
    const {memory} = site.entries[0]!;
    await waitFor(() => memory.usedBytes === 0);
    target!.isUnresponsive = false;
    expect((await send(10)).status).toBe(200);
    expect((await send(BODY_BYTES)).status).toBe(200);
  });
});
