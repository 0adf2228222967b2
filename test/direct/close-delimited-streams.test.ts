/** Streams without length or chunks, which end with their connection. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StreamEnd} from '../../stand-ins/site/close-delimited-stream.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {DirectSite} from '../support/direct-site.js';

const EVENTS = 6;
const PACE = {events: EVENTS, firstMs: 10, gapMs: 5};
const ZONES = ['a', 'b'];

const CUTS = Object.values(StreamEnd).filter(
  (end) => end !== StreamEnd.COMPLETE,
);

describe('a stream that ends with its connection', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
  });

  afterEach(() => site.stop());

  const expected = (id: string) =>
    Array.from(
      {length: EVENTS},
      (_, i) => `id: ${i + 1}\ndata: piece ${i + 1} of ${id}\n\n`,
    ).join('');

  const runCount = () => site.targets.flatMap(({runs}) => runs).length;

  it.each(CUTS)('is not passed on as complete if cut off %s', async (end) => {
    for (const target of site.targets) target.closeDelimitedEnds.push(end);
    const reply = await site.call({path: SitePath.STREAM});
    expect(reply).toMatchObject({
      status: 200,
      isComplete: true,
      text: expected('try-1'),
    });
    expect(runCount()).toBeGreaterThan(1);
  });

  it('is passed on as complete after its last event', async () => {
    for (const target of site.targets)
      target.closeDelimitedEnds.push(StreamEnd.COMPLETE);
    const reply = await site.call({path: SitePath.STREAM});
    expect(reply).toMatchObject({isComplete: true, text: expected('try-1')});
    expect(runCount()).toBe(1);
  });

  it('gets no length if its target answers with an error without one', async () => {
    for (const target of site.targets)
      target.fault = TargetFault.NO_CONTENT_LENGTH_ERROR;
    const reply = await site.call({path: SitePath.STREAM});
    expect(reply.status).toBe(422);
    expect(reply.headers['content-length']).toBeUndefined();
  });
});
