/** Calls to the store must not grow with entries times changes. */
import {Agent} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';
import {sleep} from '../support/poison-scenario.js';

const PACE = {events: 40, firstMs: 30, gapMs: 10};
const ZONES = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c', 'c'];

/** Targets that are lost one after the other. */
const LOST_TARGETS = 4;

/** Time between two of these losses, in milliseconds. */
const LOSS_INTERVAL_MS = 400;

/**
 * Calls that the entry which lost a target may make: a read, a write with a
 * read if its caller left, and the same after the diagnosis.
 */
const MAX_CALLS_PER_LOSS = 5;

const TIMEOUT_MS = 20_000;

describe('calls to the store for losses', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  /** Runs a generation at the first entry, and crashes its target. */
  const loseTarget = async (body: string) => {
    const path = SitePath.STREAM;
    const reply = site.call({path, body, entry: 0, agent: new Agent()});
    const isRunning = (target: StandInTarget) =>
      target.runs.some((run) => run.body === body);
    await waitFor(() => site.targets.some(isRunning));
    site.targets.find(isRunning)!.crash();
    await sleep(LOSS_INTERVAL_MS);
    expect((await reply).status).toBe(200);
  };

  it.each([{entries: 2}, {entries: 12}])(
    'are made by the entry that lost the targets, and by none of $entries others',
    {timeout: TIMEOUT_MS},
    async ({entries}) => {
      site = await DirectSite.start({entries: entries + 1});
      const service = SiteService.WRITERS;
      await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
      const before = site.store.callCount(StoreObjectKind.LOSSES);
      for (let i = 0; i < LOST_TARGETS; i++) await loseTarget(`draft ${i}`);
      const made = site.store.callCount(StoreObjectKind.LOSSES) - before;
      expect(made).toBeLessThanOrEqual(LOST_TARGETS * MAX_CALLS_PER_LOSS);
    },
  );
});
