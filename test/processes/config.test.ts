/** Distribution of configurations; `plantainrill apply` under faults. */
import {spawn} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Daemon} from '../../tools/lab/lab.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import {DIST, EXAMPLES} from '../../tools/lab/paths.js';
import type {SiteOptions} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';

const TEST_TIMEOUT_MS = 180_000;
const WAIT_TIMEOUT_MS = 60_000;
const SAMPLE_INTERVAL_MS = 50;
const CONFLICT_STATUS = 3;

interface Status {
  readonly vm: string;
  readonly incarnation: string;
  readonly ready: boolean;
  readonly configVersion: number;
  readonly configAgeMs: number;
}

let site: Site;
let folder: string;
let sampling: Promise<void>;
let isSamplingStopped = false;
/** The highest version that each process has reported. */
const highestVersions = new Map<string, number>();
const decreases: string[] = [];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'config-'));
  highestVersions.clear();
  decreases.length = 0;
  isSamplingStopped = false;
});

afterEach(async () => {
  isSamplingStopped = true;
  await sampling;
  await site.close();
  rmSync(folder, {recursive: true});
  expect(decreases).toEqual([]);
});

async function createSite(options: SiteOptions): Promise<void> {
  site = await Site.create(options);
  sampling = sampleVersions();
}

/** Polls every process until the test ends: no version may decrease. */
async function sampleVersions(): Promise<void> {
  while (!isSamplingStopped) {
    const statuses = await Promise.all(daemons().map(readStatus));
    for (const status of statuses) {
      if (status === undefined) continue;
      const id = `${status.vm} ${status.incarnation}`;
      const before = highestVersions.get(id) ?? 0;
      if (status.configVersion < before) {
        decreases.push(`${id}: ${before} to ${status.configVersion}`);
      }
      highestVersions.set(id, Math.max(before, status.configVersion));
    }
    await new Promise((resolve) => setTimeout(resolve, SAMPLE_INTERVAL_MS));
  }
}

function daemons(): Daemon[] {
  const targets = [...site.engines, ...site.stock];
  const all = [...site.entries, ...targets.map(({agent}) => agent)];
  return all.filter((daemon) => daemon.proc.isRunning);
}

async function readStatus(daemon: Daemon): Promise<Status | undefined> {
  const signal = AbortSignal.timeout(1_000);
  try {
    const res = await fetch(`${daemon.operatorsUrl}/status`, {signal});
    return (await res.json()) as Status;
  } catch {
    return undefined;
  }
}

async function versionOf(daemon: Daemon): Promise<number> {
  return (await readStatus(daemon))?.configVersion ?? 0;
}

/** Runs `plantainrill apply` on a variant of the quickstart's files. */
async function apply(variant: string): Promise<{status: number; text: string}> {
  const files = join(folder, variant);
  cpSync(fileURLToPath(new URL('quickstart', EXAMPLES)), files, {
    recursive: true,
  });
  const base = join(files, 'base.yaml');
  const text = readFileSync(base, 'utf8');
  expect(text).toContain('deadlineMs:');
  const deadlineMs = `deadlineMs: ${20_000 + Number(variant)}`;
  writeFileSync(base, text.replace(/deadlineMs: \d+/, deadlineMs));
  const main = fileURLToPath(new URL('src/cli/main.js', DIST));
  const platform = site.platform.url;
  const args = ['apply', '-f', files, '--platform', platform];
  args.push('--operator', `operator-${variant}`);
  const child = spawn(process.execPath, [main, ...args]);
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
  const status = await new Promise<number>((resolve) =>
    child.once('exit', (code) => resolve(code ?? -1)),
  );
  return {status, text: output};
}

async function storedVersion(): Promise<number> {
  const url = `${site.platform.url}/objects/config/deployment`;
  return ((await sendControl({url})) as {version: number}).version;
}

function setFault(body: object): Promise<unknown> {
  return sendControl({
    url: `${site.platform.url}/faults`,
    method: 'POST',
    body,
  });
}

async function waitForVersion(
  version: number,
  selectDaemons: () => Daemon[] = daemons,
): Promise<void> {
  await waitUntil({
    what: `version ${version} is active at all processes`,
    timeoutMs: WAIT_TIMEOUT_MS,
    check: async () => {
      const versions = await Promise.all(selectDaemons().map(versionOf));
      return versions.every((found) => found === version);
    },
  });
}

async function startEntry(platformUrl: string): Promise<Daemon> {
  const vm = `entry-${site.entries.length + 1}`;
  const settings = {vm, dataCentre: 'waw', site: 'waw', platformUrl};
  const entry = await site.harness.startDaemon({role: 'entry', settings});
  site.entries.push(entry);
  await site.register({
    name: vm,
    role: 'entry',
    dataCentre: 'waw',
    peerPort: entry.peersPort,
    service: '',
  });
  return entry;
}

describe('an active configuration', () => {
  it(
    'reaches entries and agents, even without access to the platform',
    async () => {
      await createSite({entries: 3, engines: 2, stock: 1});
      const relay = await site.harness.startStandIn({
        name: 'relay',
        flags: {to: `127.0.0.1:${site.platform.port}`},
      });
      const cut = await startEntry(relay.url);
      await waitForVersion(await storedVersion());
      const control = `http://127.0.0.1:${relay.controlPort}/cut`;
      await sendControl({url: control, method: 'POST'});
      expect((await apply('1')).status).toBe(0);
      await waitForVersion(await storedVersion());
      const status = await readStatus(cut);
      expect(status!.configAgeMs).toBeLessThan(WAIT_TIMEOUT_MS);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'is the newest version after a process was paused during a change',
    async () => {
      await createSite({entries: 3, engines: 1});
      const [paused] = site.entries as [Daemon];
      paused.proc.pause();
      expect((await apply('1')).status).toBe(0);
      await waitForVersion(await storedVersion(), () =>
        daemons().filter((daemon) => daemon !== paused),
      );
      paused.proc.resume();
      await waitForVersion(await storedVersion());
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'survives an outage that leaves only an outdated peer and the agents',
    async () => {
      await createSite({entries: 2, engines: 1});
      const [stale, current] = site.entries as [Daemon, Daemon];
      stale.proc.pause();
      expect((await apply('1')).status).toBe(0);
      const version = await storedVersion();
      await waitForVersion(version, () =>
        daemons().filter((daemon) => daemon !== stale),
      );
      await setFault({mode: 'down', kind: 'config'});
      current.proc.kill();
      await current.proc.exited;
      stale.proc.resume();
      const started = await startEntry(site.platform.url);
      await waitForVersion(version);
      const status = await readStatus(started);
      expect(status).toMatchObject({ready: true, configVersion: version});
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'is not reported by an entry that could not query any source',
    async () => {
      await createSite({entries: 1, engines: 1});
      await setFault({mode: 'down'});
      const started = await startEntry(site.platform.url);
      await new Promise((resolve) => setTimeout(resolve, 4_000));
      const during = await readStatus(started);
      expect(during).toMatchObject({ready: false, configVersion: 0});
      const res = await fetch(`${started.callersUrl}/services/stock/stock/x`);
      expect(await res.json()).toMatchObject({reason: 'not_ready', ran: 'no'});
      expect(await readStatus(site.entries[0]!)).toMatchObject({ready: true});
      await setFault({mode: 'ok'});
      await waitForVersion(await storedVersion());
    },
    TEST_TIMEOUT_MS,
  );
});

describe('apply', () => {
  const faults: Array<{name: string; fault: object}> = [
    {
      name: 'the response to the write is lost',
      fault: {mode: 'lose_write_answer', count: 1},
    },
    {
      name: 'two responses in a row are lost',
      fault: {mode: 'lose_write_answer', count: 2},
    },
    {
      name: 'the write fails before it has an effect',
      fault: {mode: 'fail_before_effect', count: 1},
    },
    {name: 'the platform is slow', fault: {mode: 'slow', delayMs: 500}},
  ];

  it.each(faults)(
    'is accepted once when $name',
    async ({fault}) => {
      await createSite({entries: 2, engines: 0});
      const before = await storedVersion();
      await setFault(fault);
      expect((await apply('1')).status).toBe(0);
      await setFault({mode: 'ok'});
      expect(await storedVersion()).toBe(before + 1);
      expect((await apply('1')).text).toContain('already accepted');
      expect(await storedVersion()).toBe(before + 1);
      await waitForVersion(before + 1);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'fails while the platform is down, and can be retried afterwards',
    async () => {
      await createSite({entries: 2, engines: 0});
      const before = await storedVersion();
      await setFault({mode: 'down'});
      expect((await apply('1')).status).not.toBe(0);
      await setFault({mode: 'ok'});
      expect((await apply('1')).status).toBe(0);
      // The platform goes down immediately after it has accepted the version.
      await setFault({mode: 'down'});
      await setFault({mode: 'ok'});
      expect(await storedVersion()).toBe(before + 1);
      await waitForVersion(before + 1);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'reports the other operator and the difference after a conflict',
    async () => {
      await createSite({entries: 2, engines: 0});
      const before = await storedVersion();
      // Both have read the version before either write is carried out.
      await setFault({mode: 'hold_writes', kind: 'config', count: 2});
      const outcomes = await Promise.all([apply('1'), apply('2')]);
      await setFault({mode: 'ok'});
      const loser = outcomes.findIndex(({status}) => status !== 0);
      expect(outcomes[1 - loser]!.status).toBe(0);
      expect(outcomes[loser]!.status).toBe(CONFLICT_STATUS);
      const winner = `operator-${2 - loser}`;
      expect(outcomes[loser]!.text).toContain(winner);
      expect(outcomes[loser]!.text).toContain(`${20_000 + loser + 1}`);
      expect(await storedVersion()).toBe(before + 1);
      await waitForVersion(before + 1);
    },
    TEST_TIMEOUT_MS,
  );
});
