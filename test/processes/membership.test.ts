/** Targets whose agents pause, restart or disappear from the VM list. */
import {setTimeout as sleep} from 'node:timers/promises';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Daemon} from '../../tools/lab/lab.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import {MixedLoad} from '../../tools/lab/mixed-load.js';
import type {Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';

const TEST_TIMEOUT_MS = 180_000;
const WAIT_TIMEOUT_MS = 60_000;

let site: Site;

beforeEach(async () => {
  site = await Site.create({
    entries: 2,
    engines: 2,
    engineFlags: {'pace-ms': 5},
  });
});

afterEach(() => site.close());

async function stateOf(entry: Daemon, vm: string): Promise<string> {
  const url = `${entry.operatorsUrl}/status`;
  const status = (await sendControl({url})) as {
    peers: Array<{vm: string; state: string}>;
  };
  return status.peers.find((peer) => peer.vm === vm)?.state ?? 'absent';
}

async function waitForState(target: Target, state: string): Promise<void> {
  for (const entry of site.entries) {
    await waitUntil({
      what: `${target.vm} is ${state} at ${entry.vm}`,
      timeoutMs: WAIT_TIMEOUT_MS,
      check: async () => (await stateOf(entry, target.vm)) === state,
    });
  }
}

async function countSuspicions(entry: Daemon): Promise<number> {
  const res = await request(`${entry.operatorsUrl}/metrics`);
  const text = await res.body.text();
  const found = /targets_suspected_total(?:\{[^}]*\})? (\d+)/.exec(text);
  return Number(found?.[1] ?? 0);
}

async function countStarted(target: Target): Promise<number> {
  const url = `${target.standIn.url}/counts`;
  return ((await sendControl({url})) as {started: number}).started;
}

async function runLoad(): Promise<void> {
  const load = new MixedLoad({
    site,
    generations: 4,
    tokens: 40,
    bookings: 0,
    lookups: 0,
  });
  await load.start();
  await sleep(1_500);
  const tally = await load.stop();
  expect(tally).toMatchObject({generations: {wrong: []}, cutOff: []});
  expect(tally.generations.done).toBeGreaterThan(0);
}

describe('targets', () => {
  it(
    'are used again after a pause, and after the agent restarts on another port',
    async () => {
      const [target] = site.engines as [Target];
      target.agent.proc.pause();
      await waitForState(target, 'unusable');
      target.agent.proc.resume();
      await waitForState(target, 'usable');
      target.agent.proc.kill();
      await target.agent.proc.exited;
      await waitForState(target, 'unusable');
      await site.restartAgent(target, 'engine', 'drafts');
      await waitForState(target, 'usable');
      await runLoad();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'get no new work while off the VM list, and are usable once back on it',
    async () => {
      const [target] = site.engines as [Target];
      await site.unregister(target.vm);
      await waitForState(target, 'leaving');
      const before = await countStarted(target);
      await runLoad();
      expect(await countStarted(target)).toBe(before);
      expect(target.agent.proc.isRunning).toBe(true);
      await site.register({
        name: target.vm,
        role: 'target',
        dataCentre: 'waw',
        peerPort: target.agent.peersPort,
        service: 'drafts',
      });
      await waitForState(target, 'usable');
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'stay in use when all of them disappear from the VM list at once',
    async () => {
      for (const {vm} of site.engines) await site.unregister(vm);
      await sleep(2_000);
      await runLoad();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'are not suspected by an entry that was paused itself',
    async () => {
      const [entry] = site.entries as [Daemon];
      await sleep(2_000);
      const before = await countSuspicions(entry);
      entry.proc.pause();
      await sleep(7_000);
      entry.proc.resume();
      await runLoad();
      expect(await countSuspicions(entry)).toBe(before);
    },
    TEST_TIMEOUT_MS,
  );
});
