/** Targets that end their connection inside the head of a response. */
import {afterEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite} from '../support/direct-site.js';

const PACE = {events: 5, firstMs: 10, gapMs: 5};

/** From inside the first word to just before the empty line. */
const HEAD_BYTES = [3, 9, 15, 17, 30, 45, 60, 66, 80, 84, 85];

describe('a head that is cut off', () => {
  let site: DirectSite;
  let cutting: StandInTarget;

  const start = async (service: SiteService) => {
    site = await DirectSite.start();
    const pace = service === SiteService.WRITERS ? PACE : undefined;
    cutting = await site.addTarget({service, zone: 'a', pace});
  };

  afterEach(() => site.stop());

  it.each(
    HEAD_BYTES.flatMap((headBytes) =>
      [true, false].map((isReused) => ({headBytes, isReused})),
    ),
  )(
    'after $headBytes bytes is no response, connection reused $isReused',
    async ({headBytes, isReused}) => {
      await start(SiteService.DESK);
      if (isReused) await site.call({path: SitePath.UNSAFE});
      cutting.fault = TargetFault.CUT_HEAD;
      cutting.headBytes = headBytes;
      const unsafe = await site.call({path: SitePath.UNSAFE});
      expect(unsafe.status).toBe(502);
      await site.addTarget({service: SiteService.DESK, zone: 'b'});
      const safe = await site.call({path: SitePath.SAFE});
      expect(safe.status).toBe(200);
      expect(safe.text).toMatch(/^answer to try-\d+$/);
    },
  );

  it.each(HEAD_BYTES.map((headBytes) => ({headBytes})))(
    'after $headBytes bytes ends no stream',
    async ({headBytes}) => {
      await start(SiteService.WRITERS);
      cutting.fault = TargetFault.CUT_HEAD;
      cutting.headBytes = headBytes;
      const service = SiteService.WRITERS;
      await site.addTarget({service, zone: 'b', pace: PACE});
      for (let i = 0; i < 20 && cutting.runs.length === 0; i++) {
        const {status, text, isComplete} = await site.call({
          path: SitePath.STREAM,
          body: `stream ${i}`,
        });
        expect({status, isComplete}).toEqual({status: 200, isComplete: true});
        expect(text.match(/^id: /gm)).toHaveLength(PACE.events);
      }
      expect(cutting.runs.length).toBeGreaterThan(0);
    },
  );
});
