/** Graceful shutdown of entries and targets, also of all under load. */
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';

import {Client, request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {Transcript} from '../../tools/lab/caller.js';
import {
  createTranscript,
  DEMO_KEY,
  readStream,
} from '../../tools/lab/caller.js';
import type {Daemon} from '../../tools/lab/lab.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import {MixedLoad} from '../../tools/lab/mixed-load.js';
import type {SiteOptions, Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';

const EXIT_TIMEOUT_MS = 60_000;
const TEST_TIMEOUT_MS = 180_000;

let site: Site;

async function createSite(options: SiteOptions): Promise<void> {
  site = await Site.create(options);
}

afterEach(() => site.close());

/** Reads one generation at the first entry; calls back at each event. */
async function generate(options: {
  tokens: number;
  onChunk?: (transcript: Transcript) => void;
}): Promise<Transcript> {
  const {tokens, onChunk} = options;
  const transcript = createTranscript();
  const req = {prompt: `stop test [length=${tokens}]`, maxTokens: tokens};
  const url = site.entries[0]!.callersUrl;
  await readStream({url, req, transcript, onChunk});
  const output = expectedOutput({...req, stop: []});
  const text = output.tokens.map((token) => token.text).join('');
  expect(transcript).toMatchObject({
    text,
    doneEvents: 1,
    restarts: 0,
    errors: [],
  });
  return transcript;
}

async function readinessStatusOf(daemon: Daemon): Promise<number> {
  const res = await request(`${daemon.operatorsUrl}/readyz`);
  await res.body.dump();
  return res.statusCode;
}

interface EngineCounts {
  readonly started: number;
  readonly finished: number;
}

async function readCounts(target: Target): Promise<EngineCounts> {
  const url = `${target.standIn.url}/counts`;
  return (await sendControl({url})) as EngineCounts;
}

async function findBusyEngine(): Promise<Target> {
  for (const target of site.engines) {
    const {started, finished} = await readCounts(target);
    if (started > finished) return target;
  }
  throw new Error('no engine is generating');
}

function drain(daemon: Daemon): Promise<unknown> {
  return sendControl({url: `${daemon.operatorsUrl}/drain`, method: 'POST'});
}

function terminate(daemon: Daemon): Promise<void> {
  daemon.proc.terminate();
  return Promise.resolve();
}

async function exitCodeOf(daemon: Daemon): Promise<number | null | undefined> {
  return Promise.race([daemon.proc.exited, sleep(EXIT_TIMEOUT_MS, undefined)]);
}

const LOOKUP_REQUEST = {
  method: 'GET',
  path: '/services/stock/stock/hoops',
  headers: {authorization: `Bearer ${DEMO_KEY}`},
} as const;

describe('a graceful shutdown of an entry', () => {
  const stops: Array<{
    name: string;
    stop: (entry: Daemon) => Promise<unknown>;
  }> = [
    {name: 'SIGTERM', stop: terminate},
    {name: 'drain', stop: drain},
    {
      name: 'SIGTERM and drain, twice each',
      stop: async (entry) => {
        entry.proc.terminate();
        await drain(entry);
        entry.proc.terminate();
        await drain(entry);
      },
    },
    {
      name: 'leaving on the VM list',
      stop: (entry) =>
        site.register({
          name: entry.vm,
          role: 'entry',
          dataCentre: 'waw',
          peerPort: entry.peersPort,
          service: '',
          state: 'leaving',
        }),
    },
  ];

  it.each(stops)(
    '$name: refuses new work as not run and finishes requests in progress',
    async ({stop}) => {
      await createSite({entries: 1, stock: 1, engineFlags: {'pace-ms': 20}});
      const entry = site.entries[0]!;
      const keepAliveClient = new Client(entry.callersUrl);
      await (await keepAliveClient.request(LOOKUP_REQUEST)).body.dump();
      let stopped: Promise<unknown> | undefined;
      const reading = generate({
        tokens: 150,
        onChunk: ({chunks}) => {
          if (chunks === 20) stopped = stop(entry);
        },
      });
      await waitUntil({
        what: 'the entry is not ready',
        check: async () => (await readinessStatusOf(entry)) === 503,
      });
      const refused = await keepAliveClient.request(LOOKUP_REQUEST);
      expect(refused.statusCode).toBe(503);
      expect(refused.headers['connection']).toBe('close');
      const problem = await refused.body.json();
      expect(problem).toMatchObject({reason: 'leaving', ran: 'no'});
      await reading;
      await stopped;
      expect(await exitCodeOf(entry)).toBe(0);
      await keepAliveClient.close();
    },
    TEST_TIMEOUT_MS,
  );

  // Only if the caller marks the key as new can a draining entry rule out that
  // an earlier request with it ran.
  it.each([
    {firstUse: 'true', ran: 'no'},
    {firstUse: 'false', ran: 'unknown'},
  ])(
    'refuses a request whose body is still arriving: ran $ran',
    async ({firstUse, ran}) => {
      await createSite({entries: 1, engines: 0, stock: 1});
      const entry = site.entries[0]!;
      async function* body() {
        yield '{"pal';
        entry.proc.terminate();
        await sleep(1_000);
        yield 'lets":1}';
      }
      const res = await request(
        `${entry.callersUrl}/services/orders/bookings`,
        {
          method: 'POST',
          headers: {
            ...LOOKUP_REQUEST.headers,
            'idempotency-key': 'slow-1',
            'idempotency-first-use': firstUse,
          },
          body: Readable.from(body()),
        },
      );
      const problem = await res.body.json();
      expect(problem).toMatchObject({reason: 'leaving', ran});
      expect(await exitCodeOf(entry)).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'refuses requests that arrive shortly after, even if it was idle',
    async () => {
      await createSite({entries: 1, engines: 0, stock: 1});
      const entry = site.entries[0]!;
      const keepAliveClient = new Client(entry.callersUrl);
      await (await keepAliveClient.request(LOOKUP_REQUEST)).body.dump();
      entry.proc.terminate();
      await sleep(500);
      const refused = await keepAliveClient.request(LOOKUP_REQUEST);
      expect(await refused.body.json()).toMatchObject({ran: 'no'});
      expect(await exitCodeOf(entry)).toBe(0);
      await keepAliveClient.close();
    },
    TEST_TIMEOUT_MS,
  );
});

describe('a graceful shutdown of a target', () => {
  const stops: Array<{name: string; stop: (t: Target) => Promise<unknown>}> = [
    {name: 'SIGTERM', stop: ({agent}) => terminate(agent)},
    {name: 'drain', stop: ({agent}) => drain(agent)},
    {
      name: 'SIGTERM, drain and SIGTERM again',
      stop: async ({agent}) => {
        agent.proc.terminate();
        await drain(agent);
        agent.proc.terminate();
      },
    },
    {
      name: 'leaving on the VM list',
      stop: (target) => site.markAsLeaving(target, 'drafts'),
    },
  ];

  it.each(stops)(
    '$name: moves generations and exits with code 0',
    async ({stop}) => {
      await createSite({entries: 1, engineFlags: {'pace-ms': 20}});
      let leavingTarget: Promise<Target> | undefined;
      await generate({
        tokens: 200,
        onChunk: ({chunks}) => {
          if (chunks !== 20) return;
          leavingTarget = findBusyEngine().then(async (target) => {
            await stop(target);
            return target;
          });
        },
      });
      const target = await leavingTarget!;
      expect(await exitCodeOf(target.agent)).toBe(0);
      const metrics = await request(`${site.entries[0]!.operatorsUrl}/metrics`);
      expect(await metrics.body.text()).toContain(
        'retries_total{reason="target_leaving"} 1',
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'leaving on the list while paused: no new work, exit code 0 once resumed',
    async () => {
      await createSite({entries: 2, engineFlags: {'pace-ms': 5}});
      const [first, second] = site.engines as [Target, Target];
      await generate({tokens: 20});
      first.agent.proc.pause();
      await site.markAsLeaving(first, 'drafts');
      await sleep(2_000);
      const before = (await readCounts(first)).started;
      first.agent.proc.resume();
      const load = new MixedLoad({
        site,
        generations: 4,
        tokens: 40,
        bookings: 0,
        lookups: 0,
      });
      await load.start();
      expect(await exitCodeOf(first.agent)).toBe(0);
      const tally = await load.stop();
      expect(tally).toMatchObject({generations: {wrong: []}, cutOff: []});
      expect((await readCounts(first)).started).toBe(before);
      expect((await readCounts(second)).started).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'during a resume: the stream is complete and ends once',
    async () => {
      await createSite({entries: 1, engines: 3, engineFlags: {'pace-ms': 20}});
      let stopped: Target[] = [];
      await generate({
        tokens: 150,
        onChunk: ({chunks}) => {
          if (chunks !== 20) return;
          void findBusyEngine().then((target) => {
            target.standIn.proc.kill();
            stopped = site.engines.filter((t) => t !== target).slice(0, 1);
            stopped.forEach(({agent}) => agent.proc.terminate());
          });
        },
      });
      expect(await exitCodeOf(stopped[0]!.agent)).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );
});

describe('a rolling replacement of every process under load', () => {
  async function replaceAgent(target: Target, kind: string, service: string) {
    target.agent.proc.terminate();
    expect(await exitCodeOf(target.agent)).toBe(0);
    const {agent} = await site.restartAgent(target, kind, service);
    const list = [site.engines, site.orders, site.stock].find((targets) =>
      targets.includes(target),
    )!;
    list[list.indexOf(target)] = {...target, agent};
    await site.waitUntilUsable();
  }

  it(
    'loses no request and executes no booking twice',
    async () => {
      await createSite({
        entries: 2,
        engines: 2,
        orders: 2,
        stock: 2,
        engineFlags: {'pace-ms': 10},
      });
      const load = new MixedLoad({
        site,
        generations: 6,
        tokens: 120,
        bookings: 2,
        lookups: 2,
      });
      await load.start();
      for (const target of [...site.engines]) {
        await replaceAgent(target, 'engine', 'drafts');
      }
      for (const target of [...site.orders]) {
        await replaceAgent(target, 'service', 'orders');
      }
      for (const target of [...site.stock]) {
        await replaceAgent(target, 'service', 'stock');
      }
      for (const entry of [...site.entries]) {
        await site.addEntry();
        await site.waitUntilUsable();
        entry.proc.terminate();
        expect(await exitCodeOf(entry)).toBe(0);
        await site.unregister(entry.vm);
      }
      const tally = await load.stop();
      expect(tally).toMatchObject({
        generations: {wrong: []},
        bookings: {wrong: []},
        stock: {wrong: []},
        cutOff: [],
      });
      const ledger = (await sendControl({
        url: `${site.ledger.url}/counts`,
      })) as {perKey: Array<{key: string; count: number}>};
      const duplicates = ledger.perKey.filter(({count}) => count !== 1);
      expect(duplicates).toEqual([]);
      expect(ledger.perKey).toHaveLength(load.bookedKeys.length);
    },
    TEST_TIMEOUT_MS,
  );
});
