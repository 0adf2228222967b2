/** Streams that are slow go on, and streams that only seem alive are moved. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const EVENTS = 12;
const LAST_EVENT = `id: ${EVENTS}\n`;
const ZONES = ['a', 'b', 'c'];
const FIRST_MS = 30;

/** Time within which output must go on after a loss, in milliseconds. */
const RECOVERY_MS = 3_000;

describe('a stream', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
  });

  afterEach(() => site.stop());

  const addTargets = (gapMs: number) =>
    site.addTargets(
      ZONES.map((zone) => ({
        service: SiteService.WRITERS,
        zone,
        pace: {events: EVENTS, firstMs: FIRST_MS, gapMs},
      })),
    );

  const send = () =>
    site.call({path: SitePath.STREAM, body: 'draft', deadlineMs: 8_000});

  const runs = () => site.targets.flatMap((target) => target.runs);

  it.each([{gapMs: 10}, {gapMs: 60}, {gapMs: 140}])(
    'with an event each $gapMs ms stays at its target',
    async ({gapMs}) => {
      await addTargets(gapMs);
      const {status, text} = await send();
      expect(status).toBe(200);
      expect(text).toContain(LAST_EVENT);
      expect(runs()).toHaveLength(1);
    },
  );

  it.each([
    // Another engine keeps a copy, so the stream may move, but need not.
    {name: 'with a copy elsewhere', zones: ZONES, gapMs: 380},
    // The prompt would have to be read again.
    {name: 'without a copy', zones: ['a'], gapMs: 800},
  ])(
    'with an event each $gapMs ms, $name, stays at a target that holds it',
    async ({zones, gapMs}) => {
      const pace = {events: 3, firstMs: FIRST_MS, gapMs};
      const service = SiteService.WRITERS;
      await site.addTargets(zones.map((zone) => ({service, zone, pace})));
      const {status, text} = await send();
      expect(status).toBe(200);
      expect(text).toContain('id: 3\n');
      expect(runs()).toHaveLength(1);
    },
  );

  it('goes on elsewhere if its target sends a byte now and then', async () => {
    const targets = await addTargets(40);
    for (const target of targets) target.fault = TargetFault.DRIP_STREAMS;
    const sentMs = performance.now();
    const reply = send();
    await waitFor(() => runs().length > 0);
    for (const target of targets)
      if (target.runs.length === 0) target.fault = TargetFault.NONE;
    const {status, text} = await reply;
    expect(status).toBe(200);
    expect(text).toContain(LAST_EVENT);
    expect(performance.now() - sentMs).toBeLessThan(RECOVERY_MS);
    expect(runs()).toHaveLength(2);
  });
});
