/** Streams that lose several engines, one after the other, while they write. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {DirectSite} from '../support/direct-site.js';

const EVENTS = 120;
const PACE = {events: EVENTS, firstMs: 20, gapMs: 15};
const ZONES = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c', 'c'];

describe('a stream that lost two engines, and is a suspect', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    const pace = PACE;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace})));
  });

  afterEach(() => site.stop());

  const runs = () => site.targets.flatMap((target) => target.runs);

  /** Crashes the target that runs the stream now. */
  const crashRunner = () => {
    const last = runs().reduce((a, b) => (a.atMs > b.atMs ? a : b));
    site.targets.find((target) => target.runs.includes(last))!.crash();
  };

  it.each([
    // After a second of output, the request can't have crashed the engine.
    {name: 'long', secondLoss: 95, prefills: 1},
    {name: 'shortly', secondLoss: 15, prefills: 2},
  ])(
    'is read $prefills times if the second wrote $name before',
    async ({secondLoss, prefills}) => {
      const losses = [5, secondLoss];
      const reply = await site.call({
        path: SitePath.STREAM,
        onData: (text) => {
          if (!text.includes(`id: ${losses[0]}\n`)) return;
          losses.shift();
          crashRunner();
        },
      });
      expect(losses).toEqual([]);
      expect(reply.text).toContain(`id: ${EVENTS}\n`);
      const full = runs().filter(({hasFullPrefill}) => hasFullPrefill);
      expect(full).toHaveLength(prefills);
    },
  );
});
