/** Callers that return after their entry was lost find their prompts cached. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Header} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const PACE = {events: 140, firstMs: 20, gapMs: 20};
const ZONES = ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b', 'c', 'c', 'c', 'c'];
const ENTRIES = 3;

/**
 * Generations in progress when the entry is lost: 1.2 for each engine, as on
 * the users' largest deployment.
 */
const GENERATIONS = 14;

/**
 * Time between two new generations, in milliseconds; longer than a load report
 * is used, as the users' deployment starts 0.2 generations a second and engine.
 */
const START_INTERVAL_MS = 150;

/** Share of callers whose prompt is still cached where they return to. */
const MIN_CACHED_SHARE = 0.8;

const TIMEOUT_MS = 20_000;

describe('a generation whose caller returns through another entry', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start({entries: ENTRIES});
    const service = SiteService.WRITERS;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
  });

  afterEach(() => site.stop());

  const send = (i: number, entry: number, lastEventId?: number) =>
    site
      .call({
        path: SitePath.STREAM,
        body: `draft ${i}`,
        entry,
        agent: new Agent(),
        headers: {
          [Header.GENERATION_SIZE]: '5200,780',
          [Header.PROMPT_PARTS]: `5e1c07a2:200,${(4_096 + i).toString(16)}:5000`,
          ...(lastEventId === undefined
            ? {}
            : {[Header.LAST_EVENT_ID]: String(lastEventId)}),
        },
      })
      .catch(() => undefined);

  /** Indices of the targets that ran a generation, in order of time. */
  const targetsOf = (i: number): number[] =>
    site.targets
      .flatMap((target, index) => target.runs.map((run) => ({...run, index})))
      .filter(({body}) => body === `draft ${i}`)
      .sort((a, b) => a.atMs - b.atMs)
      .map(({index}) => index);

  it('runs where it ran before', {timeout: TIMEOUT_MS}, async () => {
    const all = Array.from({length: GENERATIONS}, (_, i) => i);
    const cut = [];
    for (const i of all) {
      cut.push(send(i, 0));
      await sleep(START_INTERVAL_MS);
    }
    await waitFor(() => all.every((i) => targetsOf(i).length === 1));
    site.entries[0]!.stop();
    await Promise.all(cut);
    const replies = all.map((i) => send(i, 1 + (i % (ENTRIES - 1)), 1));
    for (const reply of await Promise.all(replies))
      expect(reply?.status).toBe(200);
    const cached = all.filter((i) => {
      const [first, second] = targetsOf(i);
      return first === second;
    });
    expect(cached.length / GENERATIONS).toBeGreaterThanOrEqual(
      MIN_CACHED_SHARE,
    );
  });
});
