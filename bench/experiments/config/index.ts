/** Time until a configuration is active everywhere: all entries watch, or fan-out. */
import {setTimeout as sleep} from 'node:timers/promises';

import {HttpObjectStore} from '../../../src/adapters/index.js';
import {CONFIG_OBJECT} from '../../../src/core/config/index.js';
import type {StandIn} from '../../../tools/lab/lab.js';
import {ProcessHarness, sendControl} from '../../../tools/lab/lab.js';
import {loadExample} from '../../../tools/lab/site.js';
import {Samples} from '../../lib/samples.js';
import type {
  BoundResult,
  CaseResult,
  Experiment,
  RatioResult,
} from '../../lib/types.js';
import {LightEntry} from './light-entry.js';

const DATA_CENTRES = ['waw', 'poz', 'krk', 'gdn'];
const SIZES = [10, 50, 200];
const CHANGES = 5;
const MAX_ROLLOUT_MS = 6_000;
const SETTLE_MS = 3_000;
const TIMEOUT_MS = 15_000;
const POLL_MS = 2;
const FILLER = 'x'.repeat(20_000);

interface Outcome {
  readonly times: CaseResult;
  readonly maxMs: number;
  /** Configuration calls of all processes since their start. */
  readonly calls: number;
  readonly bytes: number;
}

/** Measures flat watching and fan-out for each size. */
export const experiment: Experiment = {
  name: 'config',
  summary: 'acceptance to in force everywhere, flat watching and fan-out',
  starts:
    'a platform; one process hosts the configuration controllers of 10, 50 ' +
    'and 200 entries over real sockets; about 45 s',
  flags: ['--size N: one size alone'],
  run: async ({flags}) => {
    const only = flags.number('size', 0);
    const sizes = only > 0 ? [only] : SIZES;
    const cases: CaseResult[] = [];
    const ratios: RatioResult[] = [];
    const bounds: BoundResult[] = [];
    for (const size of sizes) {
      const flat = await measure({size, flat: true});
      const fanOut = await measure({size, flat: false});
      cases.push(flat.times, fanOut.times);
      cases.push(perProcess(size, 'flat', flat));
      cases.push(perProcess(size, 'fan-out', fanOut));
      ratios.push(
        ratio(`${size}: calls fan-out / flat`, fanOut.calls, flat.calls),
        ratio(`${size}: bytes fan-out / flat`, fanOut.bytes, flat.bytes),
      );
      bounds.push({
        name: `${size} in force everywhere, fan-out, ms`,
        stated: MAX_ROLLOUT_MS,
        measured: fanOut.maxMs,
        holds: fanOut.maxMs <= MAX_ROLLOUT_MS,
      });
    }
    return {cases, ratios, bounds};
  },
};

function ratio(name: string, over: number, under: number): RatioResult {
  return {name, value: over / Math.max(under, 1)};
}

function perProcess(size: number, way: string, outcome: Outcome): CaseResult {
  const name = `${size} ${way}: platform bytes per process and change`;
  const samples = new Samples({name, unit: 'B'});
  samples.add(outcome.bytes / size / CHANGES);
  return samples.result();
}

async function measure(options: {
  size: number;
  flat: boolean;
}): Promise<Outcome> {
  const {size, flat} = options;
  const lab = new ProcessHarness();
  const entries: LightEntry[] = [];
  try {
    const platform = await lab.startStandIn({
      name: 'platform',
      flags: {'vm-lag-ms': 0},
    });
    const store = new HttpObjectStore({baseUrl: platform.url});
    const created = await store.create({...CONFIG_OBJECT, value: variant(0)});
    let {version} = created._unsafeUnwrap();
    for (let i = 0; i < size; i++) {
      entries.push(await startEntry({index: i, flat, platform}));
    }
    await waitFor(entries, version);
    await sleep(SETTLE_MS);
    const before = count(entries);
    const way = flat ? 'flat' : 'fan-out';
    const name = `${size} ${way}: accepted to in force everywhere`;
    const times = new Samples({name, unit: 'ms'});
    for (let change = 1; change <= CHANGES; change++) {
      const updated = await store.update({
        ...CONFIG_OBJECT,
        value: variant(change),
        expectedVersion: version,
      });
      const startMs = performance.now();
      version = updated._unsafeUnwrap().version;
      await waitFor(entries, version);
      times.add(performance.now() - startMs);
    }
    const after = count(entries);
    return {
      times: times.result(),
      maxMs: times.percentile(100),
      calls: after.calls,
      bytes: after.bytes - before.bytes,
    };
  } finally {
    entries.forEach((entry) => entry.stop());
    await lab.close();
  }
}

async function startEntry(options: {
  index: number;
  flat: boolean;
  platform: StandIn;
}): Promise<LightEntry> {
  const {index, flat, platform} = options;
  const entry = new LightEntry({
    vm: `entry-${index + 1}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
    platformUrl: platform.url,
    flat,
  });
  const record = await entry.start();
  const url = `${platform.url}/vms/${record.name}`;
  await sendControl({url, method: 'PUT', body: record});
  return entry;
}

function count(entries: readonly LightEntry[]) {
  const sum = (pick: (entry: LightEntry) => number): number =>
    entries.reduce((total, entry) => total + pick(entry), 0);
  return {
    calls: sum(({store}) => store.calls),
    bytes: sum(({store}) => store.bytes),
  };
}

/** Returns the quickstart configuration with about 20 KB of padding. */
function variant(change: number): object {
  const document = loadExample('quickstart');
  return {nonce: `n${change}`, operator: FILLER, document};
}

async function waitFor(
  entries: readonly LightEntry[],
  version: number,
): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (entries.some((entry) => entry.version() < version)) {
    if (performance.now() > endMs)
      throw new Error(
        `timeout: version ${version} is not active at all entries`,
      );
    await sleep(POLL_MS);
  }
}
