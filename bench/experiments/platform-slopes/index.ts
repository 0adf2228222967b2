/** Cost of a call, an event and a registration in the direct entry process. */
import {mkdtempSync, rmSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../../platform/names.js';
import {API_KEY, SitePath} from '../../../stand-ins/site/config.js';
import {registrationOf} from '../../../stand-ins/site/registration.js';
import {sendSiteRequest} from '../../../tools/lab/site-caller.js';
import {STREAM_EVENTS} from '../../../tools/soak/consts.js';
import {History} from '../../../tools/soak/history.js';
import {SoakSite} from '../../../tools/soak/site.js';
import type {ProcessUsage} from '../../lib/process-usage.js';
import {readUsage} from '../../lib/process-usage.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

const ROUNDS = 5;
const CALLERS = 8;
const CALLS_PER_CALLER = 100;
const STREAMS_PER_CALLER = 3;
const REGISTRATIONS = 1_000;
const DEADLINE_MS = 20_000;

/** Longer than the time over which the entry batches changes. */
const SETTLE_MS = 2_500;

/** Nothing listens at this address; an unrouted service gets no requests. */
const UNUSED_ADDRESS = '127.0.0.1:9';
const UNROUTED_SERVICE = 'unrouted';

/** Measures the usage of the entry under each kind of load. */
export const experiment: Experiment = {
  name: 'platform-slopes',
  summary: 'processor and memory of a direct entry a call, event, registration',
  starts: 'a store, 9 targets, 1 entry; about 60 s',
  flags: ['--rounds N: repeats of each load, 5 by default'],
  run: async ({flags}) => {
    const rounds = flags.number('rounds', ROUNDS);
    const folder = mkdtempSync(join(tmpdir(), 'platform-slopes-'));
    const size = {entries: 1, targets: 1};
    const site = new SoakSite(new History(), {folder, size});
    try {
      await site.start();
      const load = new SlopeLoad(site);
      // The first round warms up the JIT compiler.
      await load.callAll();
      await load.streamAll();
      const cases = [
        await load.measureIdle(rounds),
        await load.measureCalls(rounds),
        await load.measureEvents(rounds),
        ...(await load.measureRegistrations(rounds)),
      ];
      return {cases: cases.map((c) => c.result()), ratios: [], bounds: []};
    } finally {
      await site.close();
      rmSync(folder, {recursive: true});
    }
  },
};

/** Sends load to the only entry of a site and reads its usage. */
class SlopeLoad {
  private attempts = 0;

  constructor(private readonly site: SoakSite) {}

  async measureIdle(rounds: number): Promise<Samples> {
    const samples = new Samples({name: 'processor, idle', unit: 'us a s'});
    const seconds = SETTLE_MS / 1_000;
    for (let i = 0; i < rounds; i++) {
      const used = await this.measure(() => sleep(SETTLE_MS));
      samples.add(used.cpuUs / seconds);
    }
    return samples;
  }

  async measureCalls(rounds: number): Promise<Samples> {
    const samples = new Samples({name: 'processor, a call', unit: 'us'});
    for (let i = 0; i < rounds; i++) {
      const used = await this.measure(() => this.callAll());
      samples.add(used.cpuUs / (CALLERS * CALLS_PER_CALLER));
    }
    return samples;
  }

  async measureEvents(rounds: number): Promise<Samples> {
    const samples = new Samples({name: 'processor, an event', unit: 'us'});
    const events = CALLERS * STREAMS_PER_CALLER * STREAM_EVENTS;
    for (let i = 0; i < rounds; i++) {
      const used = await this.measure(() => this.streamAll());
      samples.add(used.cpuUs / events);
    }
    return samples;
  }

  /** Measures adding many registrations, then changing them. */
  async measureRegistrations(rounds: number): Promise<Samples[]> {
    const memory = new Samples({name: 'memory, a registration', unit: 'KB'});
    const added = new Samples({name: 'processor, one added', unit: 'us'});
    const changed = new Samples({name: 'processor, one changed', unit: 'us'});
    const first = await this.measure(() => this.register('ready'));
    memory.add(first.residentKb / REGISTRATIONS);
    added.add(first.cpuUs / REGISTRATIONS);
    for (let i = 0; i < rounds; i++) {
      const state = i % 2 === 0 ? 'draining' : 'ready';
      const used = await this.measure(() => this.register(state));
      changed.add(used.cpuUs / REGISTRATIONS);
    }
    return [memory, added, changed];
  }

  async callAll(): Promise<void> {
    await this.sendFromAllCallers(SitePath.SAFE, CALLS_PER_CALLER);
  }

  async streamAll(): Promise<void> {
    await this.sendFromAllCallers(SitePath.STREAM, STREAMS_PER_CALLER);
  }

  private async register(state: string): Promise<void> {
    const {store} = this.site;
    const registration = {
      service: UNROUTED_SERVICE,
      zone: 'a',
      address: UNUSED_ADDRESS,
      state,
    };
    const spec = registrationOf(registration);
    const puts = Array.from({length: REGISTRATIONS}, (_, i) =>
      store.execute('put', {
        kind: StoreObjectKind.TARGETS,
        name: `extra-${i}`,
        spec,
      }),
    );
    await Promise.all(puts);
    await sleep(SETTLE_MS);
  }

  private async sendFromAllCallers(
    path: SitePath,
    requests: number,
  ): Promise<void> {
    const callers = Array.from({length: CALLERS}, async () => {
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      for (let i = 0; i < requests; i++) await this.call(path, agent);
      agent.destroy();
    });
    await Promise.all(callers);
  }

  private async call(path: SitePath, agent: Agent): Promise<void> {
    const [entry] = this.site.entries;
    const reply = await sendSiteRequest({
      ...entry!.callersEndpoint,
      agent,
      path,
      key: API_KEY,
      attemptId: `try-${++this.attempts}`,
      deadlineMs: DEADLINE_MS,
    });
    if (reply.status !== 200)
      throw new Error(`call failed with status ${reply.status}`);
  }

  private async measure(load: () => Promise<void>): Promise<ProcessUsage> {
    const [entry] = this.site.entries;
    const before = readUsage(entry!.pid);
    await load();
    const after = readUsage(entry!.pid);
    return {
      cpuUs: after.cpuUs - before.cpuUs,
      residentKb: after.residentKb - before.residentKb,
    };
  }
}
