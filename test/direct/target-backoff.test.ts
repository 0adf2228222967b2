/** Targets that reject requests and name a time for the next one. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const RETRY_AFTER_S = 1.5;
const MS_PER_S = 1_000;

/** Time after a rejection in which requests may still arrive, in ms. */
const GRACE_MS = 500;

/** Requests that may arrive between the grace and the end of the time. */
const MAX_EARLY_REQUESTS = 2;

const CALL_INTERVAL_MS = 50;

/** Time before the end in which no call is sent, in milliseconds. */
const LAST_CALL_MS = 200;

const LATER_CALLS = 20;
const PACE = {events: 5, firstMs: 10, gapMs: 5};

describe('a target that rejects with Retry-After', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
  });

  afterEach(() => site.stop());

  const call = (path: SitePath, deadlineMs?: number) =>
    site.call({
      path,
      agent: new Agent(),
      ...(deadlineMs === undefined ? {} : {deadlineMs}),
    });

  const sleep = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));

  const arrivalsOf = ({rejectedAtMs, runs}: StandInTarget) => [
    ...rejectedAtMs,
    ...runs.map(({atMs}) => atMs),
  ];

  async function addTarget(path: SitePath, zone: string) {
    const isStream = path === SitePath.STREAM;
    const service = isStream ? SiteService.WRITERS : SiteService.DESK;
    const pace = isStream ? PACE : undefined;
    return site.addTarget({service, zone, pace});
  }

  async function addRejecting(path: SitePath, zone: string) {
    const target = await addTarget(path, zone);
    target.fault = TargetFault.REJECT;
    target.retryAfterS = RETRY_AFTER_S;
    return target;
  }

  it.each([
    {path: SitePath.SAFE},
    {path: SitePath.UNSAFE},
    {path: SitePath.STREAM},
  ])('gets no request of $path before that time', async ({path}) => {
    const rejecting = await addRejecting(path, 'a');
    const first = call(path);
    await waitFor(() => rejecting.rejectedAtMs.length > 0);
    await addTarget(path, 'b');
    await first;
    const [rejectedMs = 0] = rejecting.rejectedAtMs;
    const endMs = rejectedMs + RETRY_AFTER_S * MS_PER_S;
    while (performance.now() < endMs - LAST_CALL_MS) {
      expect((await call(path)).status).toBe(200);
      await sleep(CALL_INTERVAL_MS);
    }
    const early = arrivalsOf(rejecting).filter(
      (atMs) => atMs > rejectedMs + GRACE_MS && atMs < endMs,
    );
    expect(early.length).toBeLessThanOrEqual(MAX_EARLY_REQUESTS);
    rejecting.fault = TargetFault.NONE;
    await sleep(LAST_CALL_MS);
    for (let i = 0; i < LATER_CALLS; i++) await call(path);
    expect(rejecting.runs.length).toBeGreaterThan(0);
  });

  it.each([{path: SitePath.UNSAFE}, {path: SitePath.STREAM}])(
    'lets $path be refused at once, with that time, if there is no other',
    async ({path}) => {
      const rejecting = await addRejecting(path, 'a');
      const deadlineMs = RETRY_AFTER_S * MS_PER_S * 0.8;
      await call(path, deadlineMs);
      const arrived = arrivalsOf(rejecting).length;
      const sentMs = performance.now();
      const reply = await call(path, deadlineMs);
      expect(performance.now() - sentMs).toBeLessThan(GRACE_MS);
      expect(reply.status).toBe(503);
      const retryAfterS = Number(reply.headers['retry-after']);
      expect(retryAfterS).toBeGreaterThan(0);
      expect(retryAfterS).toBeLessThanOrEqual(RETRY_AFTER_S);
      expect(arrivalsOf(rejecting)).toHaveLength(arrived);
    },
  );
});
