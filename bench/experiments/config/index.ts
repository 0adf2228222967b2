/** Time until a configuration is active at all entries, flat and with fan-out. */
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
/** Numbers of entries. */
const SIZES = [10, 50, 200];
const CHANGES = 5;
const MAX_ROLLOUT_MS = 6_000;
const SETTLE_MS = 3_000;
const TIMEOUT_MS = 15_000;
const POLL_MS = 2;
const PADDING = 'x'.repeat(20_000);

interface RolloutResult {
  readonly times: CaseResult;
  readonly maxMs: number;
  /** Configuration calls of all processes since their start. */
  readonly calls: number;
  /** Bytes that the store returned to all processes during the changes. */
  readonly bytes: number;
}

/** Compares flat watching (every entry watches the store) with fan-out. */
export const experiment: Experiment = {
  name: 'config',
  summary: 'acceptance to in force everywhere, flat watching and fan-out',
  starts:
    'a platform; one process hosts the configuration controllers of 10, 50 ' +
    'and 200 entries over real sockets; about 45 s',
  flags: ['--size N: one size alone'],
  run: async ({flags}) => {
    const requestedSize = flags.number('size', 0);
    const sizes = requestedSize > 0 ? [requestedSize] : SIZES;
    const cases: CaseResult[] = [];
    const ratios: RatioResult[] = [];
    const bounds: BoundResult[] = [];
    for (const size of sizes) {
      const flat = await measure({size, flat: true});
      const fanOut = await measure({size, flat: false});
      cases.push(flat.times, fanOut.times);
      cases.push(createBytesPerProcess(size, 'flat', flat));
      cases.push(createBytesPerProcess(size, 'fan-out', fanOut));
      ratios.push(
        createRatio(`${size}: calls fan-out / flat`, fanOut.calls, flat.calls),
        createRatio(`${size}: bytes fan-out / flat`, fanOut.bytes, flat.bytes),
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

function createRatio(
  name: string,
  numerator: number,
  denominator: number,
): RatioResult {
  return {name, value: numerator / Math.max(denominator, 1)};
}

function createBytesPerProcess(
  size: number,
  mode: string,
  result: RolloutResult,
): CaseResult {
  const name = `${size} ${mode}: platform bytes per process and change`;
  const samples = new Samples({name, unit: 'B'});
  samples.add(result.bytes / size / CHANGES);
  return samples.result();
}

async function measure(options: {
  size: number;
  flat: boolean;
}): Promise<RolloutResult> {
  const {size, flat} = options;
  const lab = new ProcessHarness();
  const entries: LightEntry[] = [];
  try {
    const platform = await lab.startStandIn({
      name: 'platform',
      flags: {'vm-lag-ms': 0},
    });
    const store = new HttpObjectStore({baseUrl: platform.url});
    const created = await store.create({
      ...CONFIG_OBJECT,
      value: createConfigValue(0),
    });
    let {version} = created._unsafeUnwrap();
    for (let i = 0; i < size; i++) {
      entries.push(await startEntry({index: i, flat, platform}));
    }
    await waitForVersion(entries, version);
    await sleep(SETTLE_MS);
    const before = sumStoreUsage(entries);
    const mode = flat ? 'flat' : 'fan-out';
    const name = `${size} ${mode}: accepted to in force everywhere`;
    const times = new Samples({name, unit: 'ms'});
    for (let change = 1; change <= CHANGES; change++) {
      const updated = await store.update({
        ...CONFIG_OBJECT,
        value: createConfigValue(change),
        expectedVersion: version,
      });
      const startMs = performance.now();
      version = updated._unsafeUnwrap().version;
      await waitForVersion(entries, version);
      times.add(performance.now() - startMs);
    }
    const after = sumStoreUsage(entries);
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

function sumStoreUsage(entries: readonly LightEntry[]) {
  const sum = (pick: (entry: LightEntry) => number): number =>
    entries.reduce((total, entry) => total + pick(entry), 0);
  return {
    calls: sum(({store}) => store.calls),
    bytes: sum(({store}) => store.bytes),
  };
}

/** Returns the quickstart configuration with about 20 KB of padding. */
function createConfigValue(change: number): object {
  const document = loadExample('quickstart');
  return {nonce: `n${change}`, operator: PADDING, document};
}

async function waitForVersion(
  entries: readonly LightEntry[],
  version: number,
): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (entries.some((entry) => entry.getConfigVersion() < version)) {
    if (performance.now() > endMs)
      throw new Error(
        `timeout: configuration version ${version} is not active at all entries`,
      );
    await sleep(POLL_MS);
  }
}
