/** Targets that tell in their responses that they leave. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const LATER_CALLS = 12;
const PACE = {events: 5, firstMs: 10, gapMs: 5};

/** Time for a change in the store to reach an entry, in milliseconds. */
const PROPAGATION_MS = 300;

const ROWS = [
  {path: SitePath.SAFE, fault: TargetFault.NONE},
  {path: SitePath.UNSAFE, fault: TargetFault.NONE},
  {path: SitePath.SAFE, fault: TargetFault.ERROR},
  {path: SitePath.UNSAFE, fault: TargetFault.REJECT},
  {path: SitePath.STREAM, fault: TargetFault.NONE},
  {path: SitePath.STREAM, fault: TargetFault.REJECT},
];

describe('a target that tells that it leaves', () => {
  let site: DirectSite;
  let leaving: StandInTarget;

  beforeEach(async () => {
    site = await DirectSite.start();
  });

  afterEach(() => site.stop());

  const serviceOf = (path: SitePath) =>
    path === SitePath.STREAM ? SiteService.WRITERS : SiteService.DESK;

  const call = (path: SitePath) => site.call({path, agent: new Agent()});

  const arrivals = () => leaving.runs.length + leaving.rejectedAtMs.length;

  /** Adds the leaving target alone, so that the first request reaches it. */
  async function meetLeaving(path: SitePath, fault: TargetFault) {
    const service = serviceOf(path);
    const pace = path === SitePath.STREAM ? PACE : undefined;
    leaving = await site.addTarget({service, zone: 'a', pace});
    leaving.isLeaving = true;
    leaving.fault = fault;
    const first = call(path);
    await waitFor(() => arrivals() > 0);
    await site.addTarget({service, zone: 'b', pace});
    await first;
  }

  it.each(ROWS)(
    'gets no further request of $path after its response ($fault)',
    async ({path, fault}) => {
      await meetLeaving(path, fault);
      const before = arrivals();
      for (let i = 0; i < LATER_CALLS; i++)
        expect((await call(path)).status).toBe(200);
      expect(arrivals()).toBe(before);
    },
  );

  it('gets no stream if its load report tells it', async () => {
    const service = SiteService.WRITERS;
    leaving = await site.addTarget({service, zone: 'a', pace: PACE});
    leaving.reportsLeaving = true;
    await site.addTarget({service, zone: 'b', pace: PACE});
    for (let i = 0; i < LATER_CALLS; i++)
      expect((await call(SitePath.STREAM)).status).toBe(200);
    expect(arrivals()).toBe(0);
  });

  it('gets none either if the store still calls it ready', async () => {
    const path = SitePath.SAFE;
    await meetLeaving(path, TargetFault.NONE);
    const before = arrivals();
    site.register(leaving, {service: SiteService.DESK, zone: 'c'});
    await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS));
    for (let i = 0; i < LATER_CALLS; i++) await call(path);
    expect(arrivals()).toBe(before);
  });

  it('gets requests again after a restart', async () => {
    const path = SitePath.SAFE;
    await meetLeaving(path, TargetFault.NONE);
    leaving.crash();
    leaving.isLeaving = false;
    await site.restartTarget(leaving);
    await waitFor(() => site.entry.usableTargetIds().includes(leaving.id));
    const before = arrivals();
    for (let i = 0; i < LATER_CALLS; i++) await call(path);
    expect(arrivals()).toBeGreaterThan(before);
  });
});
