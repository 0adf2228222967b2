/** Resources used per unit of work by each process, for docs/CAPACITY.md. */
import {setMaxListeners} from 'node:events';

import {HttpObjectStore} from '../../../src/adapters/index.js';
import {CONFIG_OBJECT} from '../../../src/core/config/index.js';
import {encodeFrame} from '../../../src/core/protocol/index.js';
import {
  createTranscript,
  DEMO_KEY,
  readStream,
} from '../../../tools/lab/caller.js';
import {sendControl, waitUntil} from '../../../tools/lab/lab.js';
import {Site} from '../../../tools/lab/site.js';
import {sleep} from '../../lib/arrivals.js';
import type {ProcessUsage} from '../../lib/process-usage.js';
import {readUsage} from '../../lib/process-usage.js';
import type {BoundResult, CaseResult, Experiment} from '../../lib/types.js';
import {
  HEARTBEATS_PER_SECOND,
  BOOKINGS,
  BUSY_PACE_MS,
  BUSY_STREAMS,
  BYTES_PER_KB,
  CHANGES,
  CONTROL_BYTES_PER_SECOND,
  CONTROL_CORE_SHARE,
  CONTROL_MEMORY_KB,
  IDLE_MS,
  MS_PER_SECOND,
  PROMPT_CHARACTERS,
  REQUESTS,
  SLOW_FACTOR,
  STREAMS,
  US_PER_SECOND,
  WATCHED_TARGETS,
  WINDOW_MS,
} from './consts.js';
import {FakeTargets, SAMPLE_HEARTBEAT} from './fake-targets.js';

/** Measures the cost per unit of work; each case is one figure. */
export const experiment: Experiment = {
  name: 'slopes',
  summary: 'memory, processor time and platform calls per unit of work',
  starts: 'a platform, an engine, a service, 2 agents, 1 entry; about 35 s',
  flags: [],
  run: async () => {
    const site = await Site.create({
      entries: 1,
      engines: 1,
      orders: 1,
      engineFlags: {'pace-ms': BUSY_PACE_MS, capacity: 1_000},
      editBase: liftAccountLimit,
    });
    try {
      const slopes = new Slopes(site);
      const cases = await slopes.measure();
      return {cases, ratios: [], bounds: slopes.bounds};
    } finally {
      await site.close();
    }
  },
};

function liftAccountLimit(base: Record<string, unknown>): void {
  const accounts = base['clientAccounts'] as Record<
    string,
    Record<string, unknown>
  >;
  accounts['demo']!['maxConcurrent'] = 10_000;
}

/** Processor time per second of an idle entry and an idle agent. */
interface IdleUsage {
  readonly entryUs: number;
  readonly agentUs: number;
}

interface UsagePair {
  readonly entry: ProcessUsage;
  readonly agent: ProcessUsage;
}

/** Takes the measurements one after the other at one site. */
class Slopes {
  readonly bounds: BoundResult[] = [];
  private readonly cases: CaseResult[] = [];
  private readonly targets = new FakeTargets();
  private idle: IdleUsage = {entryUs: 0, agentUs: 0};

  constructor(private readonly site: Site) {}

  async measure(): Promise<CaseResult[]> {
    await this.warmUp();
    await this.measureIdle();
    await this.measureTokens();
    await this.measureRequests();
    await this.measureBookings();
    await this.measureConfig();
    await this.measureWatchedTargets();
    await this.measureStreams();
    this.targets.close();
    return this.cases;
  }

  /** Sends load so that the JIT compiler optimizes frequently run code. */
  private async warmUp(): Promise<void> {
    await this.runStreams({streams: BUSY_STREAMS, tokens: 40, prompt: 'warm'});
    for (let i = 0; i < BOOKINGS; i++) await this.sendBooking(`warm-${i}`);
  }

  private async measureIdle(): Promise<void> {
    const callsBefore = await this.countCalls();
    const before = this.readUsages();
    await sleep(IDLE_MS);
    const after = this.readUsages();
    const calls = (await this.countCalls()) - callsBefore;
    const seconds = IDLE_MS / MS_PER_SECOND;
    this.idle = {
      entryUs: (after.entry.cpuUs - before.entry.cpuUs) / seconds,
      agentUs: (after.agent.cpuUs - before.agent.cpuUs) / seconds,
    };
    this.add('entry: idle', 'us/s', this.idle.entryUs);
    this.add('agent: idle', 'us/s', this.idle.agentUs);
    this.add('entry: resident memory, idle', 'kB', after.entry.residentKb);
    this.add('agent: resident memory, idle', 'kB', after.agent.residentKb);
    this.add('platform: object calls, idle', 'calls/s', calls / seconds);
  }

  private async measureTokens(): Promise<void> {
    const tokens = Math.round(WINDOW_MS / BUSY_PACE_MS);
    const startMs = performance.now();
    const before = this.readUsages();
    await this.runStreams({streams: BUSY_STREAMS, tokens, prompt: 'busy'});
    const after = this.readUsages();
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    const relayed = BUSY_STREAMS * tokens;
    const entryUs = after.entry.cpuUs - before.entry.cpuUs;
    const agentUs = after.agent.cpuUs - before.agent.cpuUs;
    const perEntry = (entryUs - this.idle.entryUs * seconds) / relayed;
    const perAgent = (agentUs - this.idle.agentUs * seconds) / relayed;
    this.add('entry: per token relayed', 'us', perEntry);
    this.add('agent: per token relayed', 'us', perAgent);
  }

  private async measureRequests(): Promise<void> {
    const before = this.readUsages();
    const startMs = performance.now();
    for (let i = 0; i < REQUESTS; i++) {
      await this.runStreams({streams: 1, tokens: 1, prompt: `short ${i}`});
    }
    const after = this.readUsages();
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    const us = after.entry.cpuUs - before.entry.cpuUs;
    const perRequest = (us - this.idle.entryUs * seconds) / REQUESTS;
    this.add('entry: per generation of one token', 'us', perRequest);
  }

  private async measureBookings(): Promise<void> {
    const callsBefore = await this.countCalls();
    const before = this.readUsages();
    const startMs = performance.now();
    for (let i = 0; i < BOOKINGS; i++) await this.sendBooking(`slopes-${i}`);
    const after = this.readUsages();
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    await sleep(WINDOW_MS / 4);
    const calls = (await this.countCalls()) - callsBefore;
    const us = after.entry.cpuUs - before.entry.cpuUs;
    const perBooking = (us - this.idle.entryUs * seconds) / BOOKINGS;
    this.add('entry: per booking', 'us', perBooking);
    this.add('platform: object calls per booking', 'calls', calls / BOOKINGS);
  }

  private async measureConfig(): Promise<void> {
    const store = new HttpObjectStore({baseUrl: this.site.platform.url});
    const response = (await store.read(CONFIG_OBJECT))._unsafeUnwrap();
    const stored = response.extract()!;
    const callsBefore = await this.countCalls();
    const before = this.readUsages();
    const startMs = performance.now();
    let expectedVersion = stored.version;
    for (let i = 0; i < CHANGES; i++) {
      const {value} = stored;
      const update = {...CONFIG_OBJECT, value, expectedVersion};
      expectedVersion = (await store.update(update))._unsafeUnwrap().version;
      await sleep(50);
    }
    const after = this.readUsages();
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    const calls = (await this.countCalls()) - callsBefore;
    const us = after.entry.cpuUs - before.entry.cpuUs;
    const perChange = (us - this.idle.entryUs * seconds) / CHANGES;
    this.add('entry: per configuration change', 'us', perChange);
    const perCall = calls / CHANGES;
    this.add('platform: object calls per change', 'calls', perCall);
  }

  private async measureStreams(): Promise<void> {
    await this.slowDownEngine();
    const before = this.readUsages();
    const ended = new AbortController();
    setMaxListeners(STREAMS + 1, ended.signal);
    let started = 0;
    const reading = Array.from({length: STREAMS}, async (_, i) => {
      const prompt = `${i} ${'x'.repeat(PROMPT_CHARACTERS)} [length=4000]`;
      const transcript = createTranscript();
      let hasStarted = false;
      const onChunk = (): void => {
        if (!hasStarted) started++;
        hasStarted = true;
      };
      const req = {prompt, maxTokens: 4_000};
      const {signal} = ended;
      const url = this.site.entries[0]!.callersUrl;
      const options = {url, req, transcript, signal, onChunk};
      await readStream(options).catch(() => undefined);
    });
    const check = (): Promise<boolean> => Promise.resolve(started === STREAMS);
    await waitUntil({what: 'all streams run', check});
    await sleep(MS_PER_SECOND);
    const after = this.readUsages();
    ended.abort();
    await Promise.all(reading);
    this.addMemory('entry: memory per stream', {before, after}, STREAMS);
    this.addMemory('agent: memory per stream', {before, after}, STREAMS);
  }

  private async measureWatchedTargets(): Promise<void> {
    const {targets} = this;
    await targets.open();
    const before = this.readUsages();
    for (let i = 0; i < WATCHED_TARGETS; i++)
      await this.registerFake(i, targets.port);
    const check = (): Promise<boolean> =>
      Promise.resolve(targets.connected >= WATCHED_TARGETS);
    await waitUntil({what: 'the entry watches all targets', check});
    targets.sendHeartbeats(MS_PER_SECOND);
    await sleep(WINDOW_MS);
    const usageWatching = this.readUsages();
    this.addMemory(
      'entry: memory per watched target',
      {before, after: usageWatching},
      WATCHED_TARGETS,
    );
    const slow = await this.measureHeartbeats(targets, MS_PER_SECOND);
    const fast = await this.measureHeartbeats(
      targets,
      MS_PER_SECOND / HEARTBEATS_PER_SECOND,
    );
    const perBeat = (fast.us - slow.us) / (fast.heartbeats - slow.heartbeats);
    this.add('entry: per heartbeat', 'us', perBeat);
    const perTarget =
      (slow.us - slow.heartbeats * perBeat - this.idle.entryUs) /
      WATCHED_TARGETS;
    this.add('entry: per watched target beside heartbeats', 'us/s', perTarget);
    const bytes = encodeFrame(SAMPLE_HEARTBEAT).length;
    this.add('peer: bytes of a heartbeat', 'bytes', bytes);
    const bare = encodeFrame({...SAMPLE_HEARTBEAT, cachedPrefixes: []}).length;
    this.add('peer: bytes of a heartbeat without prefixes', 'bytes', bare);
    this.addBounds({
      usage: slow,
      residentKb: usageWatching.entry.residentKb,
      bytes,
    });
    targets.sendHeartbeats(MS_PER_SECOND);
  }

  /** Measures processor time and heartbeats per second at a heartbeat period. */
  private async measureHeartbeats(
    targets: FakeTargets,
    periodMs: number,
  ): Promise<{us: number; heartbeats: number}> {
    targets.sendHeartbeats(periodMs);
    await sleep(periodMs);
    const sent = targets.sent;
    const before = this.readUsages().entry.cpuUs;
    await sleep(WINDOW_MS);
    const seconds = WINDOW_MS / MS_PER_SECOND;
    return {
      us: (this.readUsages().entry.cpuUs - before) / seconds,
      heartbeats: (targets.sent - sent) / seconds,
    };
  }

  /** Compares the control overhead with the required bounds per node. */
  private addBounds(options: {
    usage: {us: number; heartbeats: number};
    residentKb: number;
    bytes: number;
  }): void {
    const {usage, residentKb, bytes} = options;
    const rows: ReadonlyArray<Omit<BoundResult, 'holds'>> = [
      {
        name: `entry: control with ${WATCHED_TARGETS} watched targets, share of a core`,
        stated: CONTROL_CORE_SHARE,
        measured: usage.us / US_PER_SECOND,
      },
      {
        name: `entry: whole process with ${WATCHED_TARGETS} watched targets, kB`,
        stated: CONTROL_MEMORY_KB,
        measured: residentKb,
      },
      {
        name: `entry: heartbeats of ${WATCHED_TARGETS} watched targets, bytes/s`,
        stated: CONTROL_BYTES_PER_SECOND,
        measured: usage.heartbeats * bytes,
      },
    ];
    for (const row of rows) {
      this.bounds.push({...row, holds: row.measured <= row.stated});
    }
  }

  /** Slows the engine down so that streams stay open at little cost. */
  private async slowDownEngine(): Promise<void> {
    const url = `${this.site.engines[0]!.standIn.url}/faults`;
    const body = {kind: 'slow', factor: SLOW_FACTOR};
    await sendControl({url, method: 'POST', body});
  }

  private async registerFake(index: number, peerPort: number): Promise<void> {
    await this.site.register({
      name: `fake-${index}`,
      role: 'target',
      dataCentre: 'waw',
      peerPort,
      service: 'stock',
    });
  }

  private async runStreams(options: {
    streams: number;
    tokens: number;
    prompt: string;
  }): Promise<void> {
    const {streams, tokens, prompt} = options;
    const url = this.site.entries[0]!.callersUrl;
    const reading = Array.from({length: streams}, (_, i) =>
      readStream({
        url,
        req: {
          prompt: `${prompt} ${i} [length=${tokens}]`,
          maxTokens: tokens,
        },
        transcript: createTranscript(),
      }),
    );
    await Promise.all(reading);
  }

  private async sendBooking(key: string): Promise<void> {
    const url = `${this.site.entries[0]!.callersUrl}/services/orders/bookings`;
    const res = await fetch(url, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${DEMO_KEY}`,
        'content-type': 'application/json',
        'idempotency-key': key,
      },
      body: JSON.stringify({pallets: 1}),
    });
    if (!res.ok)
      throw new Error(`booking failed: ${res.status} ${await res.text()}`);
    await res.arrayBuffer();
  }

  private async countCalls(): Promise<number> {
    const url = `${this.site.platform.url}/counts`;
    const counts = (await sendControl({url})) as {total: number};
    return counts.total;
  }

  private readUsages(): UsagePair {
    return {
      entry: readUsage(this.site.entries[0]!.proc.pid),
      agent: readUsage(this.site.engines[0]!.agent.proc.pid),
    };
  }

  private addMemory(
    name: string,
    pair: {before: UsagePair; after: UsagePair},
    count: number,
  ): void {
    const role = name.startsWith('entry') ? 'entry' : 'agent';
    const kb = pair.after[role].residentKb - pair.before[role].residentKb;
    this.add(name, 'bytes', (kb * BYTES_PER_KB) / count);
  }

  /** Adds a case with a single figure, which is used for all quantiles. */
  private add(name: string, unit: string, value: number): void {
    const [p50, p95, p99, max] = [value, value, value, value];
    this.cases.push({name, unit, n: 1, p50, p95, p99, max});
  }
}
