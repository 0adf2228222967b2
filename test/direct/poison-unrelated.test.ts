/** Requests that lose their targets to other causes are still served. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {Fault} from '../../stand-ins/site/target-fault.js';
import {waitFor} from '../support/direct-site.js';
import type {DirectSite} from '../support/direct-site.js';
import {
  CallerBehaviour,
  targetsInDataCentre,
  ENTRIES,
  CRASH_MARK,
  runPoisonScenario,
  sleep,
  startPoisonSite,
  TARGETS_PER_DATA_CENTRE,
} from '../support/poison-scenario.js';

const {STREAM, SAFE} = SitePath;

/** Events that the targets of the site write for a stream. */
const LAST_EVENT = 'id: 40\n';

const DATA_CENTRES = 3;

/** Time after which a fallen target is there again, in milliseconds. */
const REVIVAL_MS = 300;

/** Time in which a breaking target breaks what it is sent. */
const BREAKING_MS = 600;

/** Callers beside the request that ends its targets. */
const INNOCENTS = 6;

const TIMEOUT_MS = 20_000;

describe('an innocent request', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await startPoisonSite(STREAM);
  });

  afterEach(() => site.stop());

  const ask = (entry: number, body: string, path = STREAM) =>
    site.call({path, body, entry: entry % ENTRIES, agent: new Agent()});

  const isServed = async (entry: number, body: string) => {
    const reply = await ask(entry, body);
    expect(reply.status).toBe(200);
    expect(reply.text).toContain(LAST_EVENT);
  };

  const dataCentreOf = (target: StandInTarget) =>
    Math.floor(site.targets.indexOf(target) / TARGETS_PER_DATA_CENTRE);

  function fell(i: number): void {
    const here = site;
    for (const target of targetsInDataCentre(site, i)) {
      target.crash();
      setTimeout(() => void here.restartTarget(target), REVIVAL_MS);
    }
  }

  const running = (body: string) =>
    site.targets.filter((t) => t.runs.some((run) => run.body === body));

  it.each([{afterEvents: 0}, {afterEvents: 10}])(
    'ends whole beside one that ends its targets after $afterEvents events',
    {timeout: TIMEOUT_MS},
    async ({afterEvents}) => {
      let isPlaying = true;
      const serveOn = async (i: number) => {
        for (let n = 0; isPlaying; n++) await isServed(i, `innocent ${i} ${n}`);
      };
      const play = async () => {
        const caller = CallerBehaviour.WAITS_FOR_RESPONSE;
        await runPoisonScenario({site, path: STREAM, caller, afterEvents});
        isPlaying = false;
      };
      const entries = Array.from({length: INNOCENTS}, (_, i) => i);
      await Promise.all([play(), ...entries.map(serveOn)]);
    },
  );

  it.each([{atMs: 10}, {atMs: 80}])(
    'ends whole after three data centres fell on it, each $atMs ms after it came there',
    {timeout: TIMEOUT_MS},
    async ({atMs}) => {
      const body = 'unlucky';
      const call = ask(0, body);
      for (let falls = 0; falls < DATA_CENTRES; falls++) {
        await waitFor(() => running(body).length > falls);
        await sleep(atMs);
        fell(dataCentreOf(latest(body)));
      }
      const reply = await call;
      expect(reply.text).toContain(LAST_EVENT);
      for (let i = 0; i < ENTRIES; i++) await isServed(i, body);
    },
  );

  const latest = (body: string): StandInTarget => {
    const lastRun = (target: StandInTarget) =>
      Math.max(
        -1,
        ...target.runs.filter((r) => r.body === body).map((r) => r.atMs),
      );
    return [...site.targets].sort((a, b) => lastRun(b) - lastRun(a))[0]!;
  };

  it(
    'is served again though equal ones were lost with three data centres',
    {timeout: TIMEOUT_MS},
    async () => {
      const body = 'equal';
      const calls = Array.from({length: 12}, (_, i) => ask(i, body));
      for (let i = 0; i < DATA_CENTRES; i++) {
        await sleep(40);
        fell(i);
        await sleep(REVIVAL_MS * 2);
      }
      for (const reply of await Promise.all(calls)) {
        expect(reply.status).toBe(200);
        expect(reply.text).toContain(LAST_EVENT);
      }
      for (let i = 0; i < ENTRIES; i++) await isServed(i, body);
    },
  );

  it(
    'is served again after targets that live on broke its connections',
    {timeout: TIMEOUT_MS},
    async () => {
      for (const target of site.targets) target.fault = Fault.DROP_RUNS;
      const endMs = performance.now() + BREAKING_MS;
      while (performance.now() < endMs) {
        for (let i = 0; i < ENTRIES; i++) await ask(i, 'broken off');
      }
      for (const target of site.targets) target.fault = Fault.NONE;
      // Targets that broke connections are left alone for a while.
      await sleep(1_000);
      for (let i = 0; i < ENTRIES; i++) await isServed(i, 'broken off');
    },
  );

  it(
    'is served again as a call after targets that live on broke its connections',
    {timeout: TIMEOUT_MS},
    async () => {
      const places = ['a', 'b', 'c', 'a'];
      const service = SiteService.DESK;
      const desks = await site.addTargets(
        places.map((zone) => ({service, zone})),
      );
      for (const target of desks) target.fault = Fault.CUT;
      const endMs = performance.now() + BREAKING_MS;
      while (performance.now() < endMs) {
        for (let i = 0; i < ENTRIES; i++) await ask(i, 'broken off', SAFE);
      }
      for (const target of desks) target.fault = Fault.NONE;
      await sleep(1_000);
      for (let i = 0; i < ENTRIES; i++) {
        expect((await ask(i, 'broken off', SAFE)).status).toBe(200);
      }
    },
  );

  it(
    'is not taken for one that ends targets',
    {timeout: TIMEOUT_MS},
    async () => {
      await runPoisonScenario({
        site,
        path: STREAM,
        caller: CallerBehaviour.WAITS_FOR_RESPONSE,
      });
      for (let i = 0; i < ENTRIES; i++)
        await isServed(i, `not ${CRASH_MARK.length}`);
    },
  );
});
