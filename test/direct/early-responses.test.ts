/** Targets that break off a response while the request is still written. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {
  BROKEN_RESPONSES,
  EarlyResponse,
  INVALID_STATUSES,
} from '../../stand-ins/site/early-response.js';
import {DirectSite} from '../support/direct-site.js';

const {SAFE, UNSAFE, STREAM} = SitePath;

const ZONES = ['a', 'b'];

const EVENTS = 4;

const PACE = {events: EVENTS, firstMs: 10, gapMs: 5};

/** How often a row is played, as its outcome may be a race. */
const PLAYS = 5;

const BODIES = [3 * 1024 * 1024, 300 * 1024, 0].map((bytes) => ({bytes}));

const KINDS = [...BROKEN_RESPONSES, ...INVALID_STATUSES];

const ROWS = BODIES.flatMap((row) => KINDS.map((kind) => ({...row, kind})));

describe('a plain call to a target that responds early', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.DESK;
    await site.addTargets(ZONES.map((zone) => ({service, zone})));
  });

  afterEach(() => site.stop());

  it.each(ROWS)('is lost if unsafe: $kind, $bytes bytes', async (row) => {
    for (const target of site.targets) target.earlyResponse = row.kind;
    for (let i = 0; i < PLAYS; i++) {
      const body = 'x'.repeat(row.bytes);
      const {status, isComplete} = await site.call({path: UNSAFE, body});
      expect({status, isComplete}).toEqual({status: 502, isComplete: true});
    }
  });

  it.each(ROWS)('runs again if safe: $kind, $bytes bytes', async (row) => {
    const [near] = site.targets;
    near!.earlyResponse = row.kind;
    const body = 'x'.repeat(row.bytes);
    const {status, text} = await site.call({path: SAFE, body});
    expect({status, text}).toEqual({status: 200, text: 'answer to try-1'});
    expect(near!.runs.length).toBe(1);
  });

  it.each(BODIES)('is whole if it ends in order: $bytes bytes', async (row) => {
    for (const target of site.targets) target.earlyResponse = EarlyResponse.END;
    const body = 'x'.repeat(Math.min(row.bytes, 4 * 1024));
    const {status, text} = await site.call({path: UNSAFE, body});
    expect({status, text}).toEqual({status: 200, text: 'answ'});
  });
});

describe('a stream of a target that responds early', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
  });

  afterEach(() => site.stop());

  it.each(ROWS)('goes on elsewhere: $kind, $bytes bytes', async (row) => {
    const [near] = site.targets;
    near!.earlyResponse = row.kind;
    const body = 'x'.repeat(row.bytes);
    const {status, text} = await site.call({path: STREAM, body});
    const pieces = Array.from(
      {length: EVENTS},
      (_, i) => `id: ${i + 1}\ndata: piece ${i + 1} of try-1\n\n`,
    );
    expect({status, text}).toEqual({status: 200, text: pieces.join('')});
  });
});
