/** Streams whose targets are lost before the first event. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Header} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const EVENTS = 3;
const PROMPT_TOKENS = 5_000;
const PACE = {events: EVENTS, firstMs: 1_200, gapMs: 5};
const ZONES = ['a', 'b', 'c'];

/** Time of a prompt at its engine until the engine is lost, in milliseconds. */
const LONG_MS = 700;
const SHORT_MS = 60;

describe('a stream whose engine is lost before the first event', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    const pace = PACE;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace})));
  });

  afterEach(() => site.stop());

  const runs = () => site.targets.flatMap((target) => target.runs);

  const crash = (target: StandInTarget) => target.crash();

  const silence = (target: StandInTarget) => (target.isUnresponsive = true);

  it.each([
    {name: 'crashes late', lose: crash, afterMs: LONG_MS},
    {name: 'is silent late', lose: silence, afterMs: LONG_MS},
    {name: 'crashes early', lose: crash, afterMs: SHORT_MS},
  ])(
    'is read again and counted, without a try of its copy, if it $name',
    async ({lose, afterMs}) => {
      const headers = {[Header.GENERATION_SIZE]: `${PROMPT_TOKENS},20`};
      const path = SitePath.STREAM;
      const reply = site.call({path, headers, deadlineMs: 8_000});
      await waitFor(() => runs().length > 0);
      const runner = site.targets.find((target) => target.runs.length > 0)!;
      setTimeout(() => lose(runner), afterMs);
      const {status, text} = await reply;
      expect(status).toBe(200);
      expect(text).toContain(`id: ${EVENTS}\n`);
      const full = runs().filter(({hasFullPrefill}) => hasFullPrefill);
      expect(full).toHaveLength(2);
      expect(site.targets.flatMap(({rejectedAtMs}) => rejectedAtMs)).toEqual(
        [],
      );
      const metrics = await site.entries[0]!.metrics.render();
      const reread = `prompt_tokens_reread_total{label="copy_too_new"} ${PROMPT_TOKENS}`;
      expect(metrics).toContain(reread);
    },
  );
});
