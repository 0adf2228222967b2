/** Generations whose responses are lost while their targets live on. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

/** Time within which output must go on after a loss, in milliseconds. */
const RECOVERY_MS = 3_000;

/** Spans several checks of the target, in milliseconds. */
const LONG_PREFILL_MS = 2_200;

const EVENTS = 10;
const LAST_EVENT = `id: ${EVENTS}\n`;
const ZONES = ['a', 'b', 'c'];

describe('a generation', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
  });

  afterEach(() => site.stop());

  const addTargets = (firstMs: number) =>
    site.addTargets(
      ZONES.map((zone) => ({
        service: SiteService.WRITERS,
        zone,
        pace: {events: EVENTS, firstMs, gapMs: 10},
      })),
    );

  const send = (body: string) =>
    site.call({
      path: SitePath.STREAM,
      body,
      agent: new Agent(),
      deadlineMs: 8_000,
    });

  const runnerOf = (body: string): StandInTarget | undefined =>
    site.targets.find((target) => target.runs.some((r) => r.body === body));

  it('goes on elsewhere in time if its response is lost', async () => {
    const targets = await addTargets(50);
    for (const target of targets) target.fault = TargetFault.LOSE_STREAMS;
    const sentMs = performance.now();
    const reply = send('draft');
    await waitFor(() => runnerOf('draft') !== undefined);
    const first = runnerOf('draft');
    for (const target of targets)
      if (target !== first) target.fault = TargetFault.NONE;
    const {status, text} = await reply;
    expect({status, isWhole: text.includes(LAST_EVENT)}).toEqual({
      status: 200,
      isWhole: true,
    });
    expect(performance.now() - sentMs).toBeLessThan(RECOVERY_MS);
  });

  it('stays where its prompt is in prefill, however long', async () => {
    await addTargets(LONG_PREFILL_MS);
    const {text} = await send('long prompt');
    expect(text).toContain(LAST_EVENT);
    const runs = site.targets.flatMap((target) => target.runs);
    expect(runs).toHaveLength(1);
  });
});
