/** Requests that lose their targets for other reasons are still served. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
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

/** Last event that the targets of the site send for a stream. */
const LAST_EVENT = 'id: 40\n';

const DATA_CENTRES = 3;

/** Time after which a crashed target restarts, in milliseconds. */
const RESTART_DELAY_MS = 300;

/** Time for which faulty targets break connections, in milliseconds. */
const FAULT_MS = 600;

/** Callers that run concurrently with the poison request. */
const UNRELATED_CALLERS = 6;

const TIMEOUT_MS = 20_000;

describe('an unrelated request', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await startPoisonSite(STREAM);
  });

  afterEach(() => site.stop());

  const call = (entry: number, body: string, path = STREAM) =>
    site.call({path, body, entry: entry % ENTRIES, agent: new Agent()});

  const expectServed = async (entry: number, body: string) => {
    const reply = await call(entry, body);
    expect(reply.status).toBe(200);
    expect(reply.text).toContain(LAST_EVENT);
  };

  const dataCentreOf = (target: StandInTarget) =>
    Math.floor(site.targets.indexOf(target) / TARGETS_PER_DATA_CENTRE);

  function crashDataCentre(i: number): void {
    // The next test may have replaced `site` when the timer fires.
    const crashedSite = site;
    for (const target of targetsInDataCentre(site, i)) {
      target.crash();
      setTimeout(
        () => void crashedSite.restartTarget(target),
        RESTART_DELAY_MS,
      );
    }
  }

  const targetsRunning = (body: string) =>
    site.targets.filter((t) => t.runs.some((run) => run.body === body));

  it.each([{afterEvents: 0}, {afterEvents: 10}])(
    'completes while a poison request crashes targets after $afterEvents events',
    {timeout: TIMEOUT_MS},
    async ({afterEvents}) => {
      let isRunning = true;
      const callRepeatedly = async (i: number) => {
        for (let n = 0; isRunning; n++)
          await expectServed(i, `unrelated ${i} ${n}`);
      };
      const runScenario = async () => {
        const caller = CallerBehaviour.WAITS_FOR_RESPONSE;
        await runPoisonScenario({site, path: STREAM, caller, afterEvents});
        isRunning = false;
      };
      const entries = Array.from({length: UNRELATED_CALLERS}, (_, i) => i);
      await Promise.all([runScenario(), ...entries.map(callRepeatedly)]);
    },
  );

  it.each([{atMs: 10}, {atMs: 80}])(
    'completes after three data-centre outages, each $atMs ms after the request was sent there',
    {timeout: TIMEOUT_MS},
    async ({atMs}) => {
      const body = 'unlucky';
      const pending = call(0, body);
      for (let outages = 0; outages < DATA_CENTRES; outages++) {
        await waitFor(() => targetsRunning(body).length > outages);
        await sleep(atMs);
        crashDataCentre(dataCentreOf(latestTarget(body)));
      }
      const reply = await pending;
      expect(reply.text).toContain(LAST_EVENT);
      for (let i = 0; i < ENTRIES; i++) await expectServed(i, body);
    },
  );

  const latestTarget = (body: string): StandInTarget => {
    const lastRunMs = (target: StandInTarget) =>
      Math.max(
        -1,
        ...target.runs.filter((r) => r.body === body).map((r) => r.atMs),
      );
    return [...site.targets].sort((a, b) => lastRunMs(b) - lastRunMs(a))[0]!;
  };

  it(
    'is served again after equal requests were lost in three data-centre outages',
    {timeout: TIMEOUT_MS},
    async () => {
      const body = 'equal';
      const calls = Array.from({length: 12}, (_, i) => call(i, body));
      for (let i = 0; i < DATA_CENTRES; i++) {
        await sleep(40);
        crashDataCentre(i);
        await sleep(RESTART_DELAY_MS * 2);
      }
      for (const reply of await Promise.all(calls)) {
        expect(reply.status).toBe(200);
        expect(reply.text).toContain(LAST_EVENT);
      }
      for (let i = 0; i < ENTRIES; i++) await expectServed(i, body);
    },
  );

  it(
    'is served again after running targets broke its connections',
    {timeout: TIMEOUT_MS},
    async () => {
      for (const target of site.targets)
        target.fault = TargetFault.DROP_STREAMS;
      const endMs = performance.now() + FAULT_MS;
      while (performance.now() < endMs) {
        for (let i = 0; i < ENTRIES; i++) await call(i, 'broken off');
      }
      for (const target of site.targets) target.fault = TargetFault.NONE;
      // Targets that broke connections are paused for a while.
      await sleep(1_000);
      for (let i = 0; i < ENTRIES; i++) await expectServed(i, 'broken off');
    },
  );

  it(
    'is served again as a plain call after running targets broke its connections',
    {timeout: TIMEOUT_MS},
    async () => {
      const zones = ['a', 'b', 'c', 'a'];
      const service = SiteService.DESK;
      const targets = await site.addTargets(
        zones.map((zone) => ({service, zone})),
      );
      for (const target of targets) target.fault = TargetFault.CLOSE_CONNECTION;
      const endMs = performance.now() + FAULT_MS;
      while (performance.now() < endMs) {
        for (let i = 0; i < ENTRIES; i++) await call(i, 'broken off', SAFE);
      }
      for (const target of targets) target.fault = TargetFault.NONE;
      await sleep(1_000);
      for (let i = 0; i < ENTRIES; i++) {
        expect((await call(i, 'broken off', SAFE)).status).toBe(200);
      }
    },
  );

  it(
    'is not mistaken for a poison request',
    {timeout: TIMEOUT_MS},
    async () => {
      await runPoisonScenario({
        site,
        path: STREAM,
        caller: CallerBehaviour.WAITS_FOR_RESPONSE,
      });
      for (let i = 0; i < ENTRIES; i++)
        await expectServed(i, `not ${CRASH_MARK.length}`);
    },
  );
});
