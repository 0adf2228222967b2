/** Generations through direct entries whose engines lack room. */
import {afterEach, describe, expect, it} from 'vitest';

import {Header} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const CAPACITY_TOKENS = 55_000;
const HOLD_MS = 2_000;
const OBJECTIVE_MS = 1_500;
const PACE = {events: 5, firstMs: 20, gapMs: 10};

/** A generation that fills more than half of an engine. */
const HEADERS = {[Header.GENERATION_SIZE]: '28000, 2000'};

describe('an engine with room for one generation', () => {
  let site: DirectSite;

  const start = async (options: {holdMs?: number; entries?: number} = {}) => {
    const {holdMs, entries = 1} = options;
    const config = {holdMs, streamObjectiveMs: OBJECTIVE_MS};
    site = await DirectSite.start({entries, config});
    const service = SiteService.WRITERS;
    const engine = await site.addTarget({service, zone: 'a', pace: PACE});
    engine.room.capacityTokens = CAPACITY_TOKENS;
    return engine;
  };

  afterEach(() => site.stop());

  const call = (entry = 0, signal?: AbortSignal) =>
    site.call({path: SitePath.STREAM, headers: HEADERS, entry, signal});

  it('runs the generations of two entries one after the other', async () => {
    const engine = await start({holdMs: HOLD_MS, entries: 2});
    const replies = await Promise.all([call(0), call(1), call(0), call(1)]);
    expect(replies.map(({status}) => status)).toEqual([200, 200, 200, 200]);
    expect(engine.runs).toHaveLength(4);
    expect(engine.room.mostRunning).toBe(1);
    for (const {headers} of engine.runs)
      expect(headers[Header.RESERVATION]).toMatch(/^r-/);
  });

  it('gets generations at once if it makes no reservations', async () => {
    const engine = await start({entries: 2});
    const replies = await Promise.all([call(0), call(1)]);
    expect(replies.map(({status}) => status)).toEqual([200, 200]);
    expect(engine.room.mostRunning).toBe(2);
    for (const {headers} of engine.runs)
      expect(headers[Header.RESERVATION]).toBeUndefined();
  });

  it('gets no generation whose caller left while it waited', async () => {
    const engine = await start({holdMs: HOLD_MS});
    engine.room.usedTokens = CAPACITY_TOKENS;
    const abort = new AbortController();
    const reply = call(0, abort.signal).catch(() => undefined);
    await waitFor(() => engine.room.refused > 0);
    abort.abort();
    await reply;
    engine.room.usedTokens = 0;
    const next = await call();
    expect(next.status).toBe(200);
    expect(engine.runs).toHaveLength(1);
    await waitFor(() => engine.room.heldCount === 0);
  });

  // Guards against streams that begin late in a planned stop and are cut (LOST).
  it('gets no generation that waited until its entry stops', async () => {
    const engine = await start({holdMs: HOLD_MS});
    engine.room.usedTokens = CAPACITY_TOKENS;
    const reply = call();
    await waitFor(() => engine.room.refused > 0);
    const stopped = site.entries[0]!.stopAsPlanned();
    expect((await reply).status).toBe(503);
    expect(engine.runs).toHaveLength(0);
    await stopped;
  });

  // Guards against room that nobody uses until `hold_ms` is over.
  it('gets back the room that it granted too late', async () => {
    const engine = await start({holdMs: HOLD_MS});
    engine.room.grantDelayMs = 300;
    expect((await call()).status).toBe(200);
    expect(engine.runs[0]!.headers[Header.RESERVATION]).toBeUndefined();
    await waitFor(() => engine.room.heldCount === 0);
    expect(engine.room.released.length).toBeGreaterThan(0);
  });

  it('gets a generation that must start now, although it is full', async () => {
    const engine = await start({holdMs: HOLD_MS});
    engine.room.usedTokens = CAPACITY_TOKENS;
    const startedMs = performance.now();
    const reply = await call();
    expect(reply.status).toBe(200);
    expect(engine.room.refused).toBeGreaterThan(1);
    expect(performance.now() - startedMs).toBeGreaterThan(OBJECTIVE_MS / 2);
  });
});
