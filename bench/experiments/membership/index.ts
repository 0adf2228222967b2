/** Failure detection, false suspicions and graceful shutdown under load. */
import {setTimeout as sleep} from 'node:timers/promises';

import {request} from 'undici';

import type {Daemon} from '../../../tools/lab/lab.js';
import {sendControl, waitUntil} from '../../../tools/lab/lab.js';
import type {LoadTally} from '../../../tools/lab/mixed-load.js';
import {MixedLoad} from '../../../tools/lab/mixed-load.js';
import type {Target} from '../../../tools/lab/site.js';
import {Site} from '../../../tools/lab/site.js';
import {Samples} from '../../lib/samples.js';
import type {BoundResult, Experiment} from '../../lib/types.js';

const FREEZES = 4;
/** Time without failures over which false suspicions are counted. */
const SUSPICION_WINDOW_MS = 5_000;
/** Time after which a leaving target must not get new work. */
const MAX_NEW_WORK_MS = 3_000;
const MAX_DETECTION_MS = 3_000;

/** Runs failures and shutdowns on a small site under load. */
export const experiment: Experiment = {
  name: 'membership',
  summary: 'detection of frozen agents, false suspicions, stops under load',
  starts: 'a platform, 3 engines, 2 stock services, 2 entries; about 45 s',
  flags: [],
  run: async () => {
    const site = await Site.create({
      entries: 2,
      engines: 3,
      stock: 2,
      engineFlags: {'pace-ms': 20},
    });
    try {
      const load = new MixedLoad({
        ...{site, generations: 8, tokens: 60, bookings: 0, lookups: 4},
      });
      await load.start();
      const falseSuspicions = await countFalseSuspicions(site);
      const detection = await measureDetection(site);
      const newWork = await measureDraining(site);
      await replaceProcesses(site);
      const tally = await load.stop();
      const lost = countLost(tally);
      const bounds: BoundResult[] = [
        createUpperBound('requests lost under freezes and stops', 0, lost),
        createUpperBound('false suspicions in 5 s of load', 0, falseSuspicions),
        createUpperBound(
          'detection, max, ms',
          MAX_DETECTION_MS,
          detection.percentile(100),
        ),
        createUpperBound('work begun past 3 s of leaving', 0, newWork.late),
      ];
      return {
        cases: [detection.result(), newWork.times.result()],
        ratios: [],
        bounds,
      };
    } finally {
      await site.close();
    }
  },
};

function createUpperBound(
  name: string,
  stated: number,
  measured: number,
): BoundResult {
  return {name, stated, measured, holds: measured <= stated};
}

function countLost(tally: LoadTally): number {
  const {generations, stock, cutOff} = tally;
  return generations.wrong.length + stock.wrong.length + cutOff.length;
}

async function countFalseSuspicions(site: Site): Promise<number> {
  const before = await sumSuspicions(site);
  await sleep(SUSPICION_WINDOW_MS);
  return (await sumSuspicions(site)) - before;
}

async function sumSuspicions(site: Site): Promise<number> {
  let sum = 0;
  for (const entry of site.entries) {
    const res = await request(`${entry.operatorsUrl}/metrics`);
    const text = await res.body.text();
    const found = /targets_suspected_total(?:\{[^}]*\})? (\d+)/.exec(text);
    sum += Number(found?.[1] ?? 0);
  }
  return sum;
}

/** Freezes agents and measures the time until no entry uses them. */
async function measureDetection(site: Site): Promise<Samples> {
  const name = 'frozen to unused at both entries';
  const samples = new Samples({name, unit: 'ms'});
  for (let i = 0; i < FREEZES; i++) {
    const target = site.engines[i % site.engines.length]!;
    const startMs = performance.now();
    target.agent.proc.pause();
    await waitForUsability(site, target, false);
    samples.add(performance.now() - startMs);
    target.agent.proc.resume();
    await waitForUsability(site, target, true);
  }
  return samples;
}

async function waitForUsability(
  site: Site,
  target: Target,
  isUsable: boolean,
): Promise<void> {
  const check = async (): Promise<boolean> => {
    const states = await Promise.all(
      site.entries.map((entry) => readPeerState(entry, target.vm)),
    );
    return states.every((state) => (state === 'usable') === isUsable);
  };
  await waitUntil({what: `${target.vm} usable: ${isUsable}`, check});
}

async function readPeerState(entry: Daemon, vm: string): Promise<string> {
  const url = `${entry.operatorsUrl}/status`;
  const {peers} = (await sendControl({url})) as {
    peers: Array<{vm: string; state: string}>;
  };
  return peers.find((peer) => peer.vm === vm)?.state ?? 'absent';
}

/**
 * Lists a target as leaving and measures the time to its last new generation.
 * `late` is the number of generations started after `MAX_NEW_WORK_MS`.
 */
async function measureDraining(site: Site) {
  const name = 'listed as leaving to its last new work';
  const times = new Samples({name, unit: 'ms'});
  const target = site.engines[0]!;
  let startedBefore = await countStarted(target);
  const startMs = performance.now();
  await site.markAsLeaving(target, 'drafts');
  let lastMs = 0;
  let late = 0;
  while (performance.now() - startMs < 2 * MAX_NEW_WORK_MS) {
    const started = await countStarted(target);
    const sinceMs = performance.now() - startMs;
    if (started > startedBefore) lastMs = sinceMs;
    if (started > startedBefore && sinceMs > MAX_NEW_WORK_MS)
      late += started - startedBefore;
    startedBefore = started;
    await sleep(10);
  }
  times.add(lastMs);
  await target.agent.proc.exited;
  await restartAgent(site, target);
  return {times, late};
}

async function countStarted(target: Target): Promise<number> {
  const url = `${target.standIn.url}/counts`;
  return ((await sendControl({url})) as {started: number}).started;
}

/** Replaces all agents and entries, one after the other. */
async function replaceProcesses(site: Site): Promise<void> {
  for (const target of [...site.engines]) {
    target.agent.proc.terminate();
    await target.agent.proc.exited;
    await restartAgent(site, target);
  }
  for (const entry of [...site.entries]) {
    await site.addEntry();
    await site.waitUntilUsable();
    entry.proc.terminate();
    await entry.proc.exited;
    await site.unregister(entry.vm);
  }
}

async function restartAgent(site: Site, target: Target): Promise<void> {
  const next = await site.restartAgent(target, 'engine', 'drafts');
  site.engines[site.engines.indexOf(target)] = next;
  await site.waitUntilUsable();
}
