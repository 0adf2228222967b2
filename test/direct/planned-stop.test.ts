/** Requests around the planned stop of an entry. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {SHUTDOWN_GRACE_MS} from '../support/direct-entry.js';
import {DirectSite} from '../support/direct-site.js';

/** Longer than what is left of the grace period. */
const SLOW_WORK_MS = 1_500;

const DEADLINE_MS = 4_000;

const SHORT_DEADLINE_MS = 300;

/** Longer than the grace period, within the route's timeout. */
const STREAM_DEADLINE_MS = 2_900;

/** A stream that lasts longer than the grace period. */
const PACE = {events: 400, firstMs: 10, gapMs: 10};

describe('a planned stop', () => {
  let site: DirectSite;
  let target: StandInTarget;

  afterEach(() => site.stop());

  const start = async (workMs: number) => {
    site = await DirectSite.start();
    const service = SiteService.DESK;
    target = await site.addTarget({service, zone: 'a', workMs});
    await site.addTarget({service: SiteService.WRITERS, zone: 'a', pace: PACE});
  };

  /** Begins the stop while a stream is open, so that it takes its time. */
  const stop = async () => {
    const streaming = call(SitePath.STREAM, DEADLINE_MS).catch(() => undefined);
    await sleep(100);
    const stopped = site.entries[0]!.stopAsPlanned();
    return Promise.all([streaming, stopped]);
  };

  const call = (path: SitePath, deadlineMs: number) =>
    site.call({path, deadlineMs, agent: new Agent()});

  it.each([{path: SitePath.SAFE}, {path: SitePath.UNSAFE}])(
    'takes no $path late that could be cut off at its end',
    async ({path}) => {
      await start(SLOW_WORK_MS);
      const stopped = stop();
      await sleep(SHUTDOWN_GRACE_MS / 2);
      const {status, headers} = await call(path, DEADLINE_MS);
      expect(status).toBe(503);
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
      expect(target.runs).toHaveLength(0);
      await stopped;
    },
  );

  it('takes a request whose deadline is before its end', async () => {
    await start(0);
    const stopped = stop();
    await sleep(SHUTDOWN_GRACE_MS / 2);
    const {status} = await call(SitePath.UNSAFE, SHORT_DEADLINE_MS);
    expect(status).toBe(200);
    await stopped;
  });

  it.each([{path: SitePath.SAFE}, {path: SitePath.UNSAFE}])(
    'answers $path that still runs at its end',
    async ({path}) => {
      await start(2 * SHUTDOWN_GRACE_MS);
      const answered = call(path, DEADLINE_MS);
      await sleep(100);
      expect(target.runs).toHaveLength(1);
      const stopped = stop();
      const {status, isComplete} = await answered;
      expect({status, isComplete}).toEqual({status: 504, isComplete: true});
      await stopped;
    },
  );

  // Guards against streams that a planned stop cuts off without an answer (LOST).
  it('refuses a stream that waits for a target', async () => {
    site = await DirectSite.start();
    const answered = call(SitePath.STREAM, STREAM_DEADLINE_MS);
    await sleep(100);
    const startedMs = performance.now();
    const stopped = site.entries[0]!.stopAsPlanned();
    const {status, headers, isComplete} = await answered;
    expect({status, isComplete}).toEqual({status: 503, isComplete: true});
    expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    expect(performance.now() - startedMs).toBeLessThan(SHUTDOWN_GRACE_MS / 2);
    await stopped;
  });

  it('answers a stream that has not begun at its end', async () => {
    site = await DirectSite.start();
    const pace = {...PACE, firstMs: 2 * SHUTDOWN_GRACE_MS};
    await site.addTarget({service: SiteService.WRITERS, zone: 'a', pace});
    const answered = call(SitePath.STREAM, STREAM_DEADLINE_MS);
    await sleep(100);
    const stopped = site.entries[0]!.stopAsPlanned();
    const {status, isComplete} = await answered;
    expect({status, isComplete}).toEqual({status: 504, isComplete: true});
    await stopped;
  });
});
