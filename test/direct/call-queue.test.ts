/** Plain calls at an entry whose only target is full and tells its load. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite} from '../support/direct-site.js';

const SLOTS = 2;

/** With a wait for another call it exceeds the objective of the route. */
const WORK_MS = 250;

describe('calls to a target without a free slot', () => {
  let site: DirectSite;
  let target: StandInTarget;
  let agent: Agent;

  beforeEach(async () => {
    agent = new Agent();
    site = await DirectSite.start();
    target = await site.addTarget({
      service: SiteService.DESK,
      zone: 'a',
      workMs: WORK_MS,
    });
  });

  afterEach(async () => {
    agent.destroy();
    await site.stop();
  });

  const callAtOnce = (path: SitePath, count: number) =>
    Promise.all(
      Array.from({length: count}, (_, i) =>
        site.call({path, body: `order ${i}`, agent}),
      ),
    );

  it.each([{path: SitePath.SAFE}, {path: SitePath.UNSAFE}])(
    'wait at the entry and run once: $path',
    async ({path}) => {
      target.slots = SLOTS;
      await site.call({path});
      const replies = await callAtOnce(path, 3 * SLOTS);
      expect(replies.map(({status}) => status)).toEqual(
        Array.from({length: 3 * SLOTS}, () => 200),
      );
      expect(target.runs.length).toBe(1 + 3 * SLOTS);
      expect(target.rejectedAtMs).toEqual([]);
    },
  );

  it('are sent at once if it does not tell its load', async () => {
    await site.call({path: SitePath.UNSAFE});
    await callAtOnce(SitePath.UNSAFE, 3 * SLOTS);
    const atMs = target.runs.slice(1).map((run) => run.atMs);
    expect(Math.max(...atMs) - Math.min(...atMs)).toBeLessThan(WORK_MS);
  });
});
