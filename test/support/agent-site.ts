/** An entry, two engines and two services with agents, in this process. */
import {request} from 'undici';

import {createCallersApp} from '../../src/adapters/http-callers.js';
import type {HttpListener} from '../../src/adapters/http-server.js';
import {listenHttp} from '../../src/adapters/http-server.js';
import type {TargetDrivers} from '../../src/agent/agent-process.js';
import {AgentProcess} from '../../src/agent/agent-process.js';
import {TargetLimit} from '../../src/agent/target-limit.js';
import {SystemClock, SystemRandom} from '../../src/core/clock/index.js';
import {CONFIG_OBJECT} from '../../src/core/config/index.js';
import type {VmRecord} from '../../src/core/edges/index.js';
import {VmRole, VmState} from '../../src/core/edges/index.js';
import type {LogFields} from '../../src/core/logs/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {ProcessRole} from '../../src/core/settings/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';
import {EntryProcess} from '../../src/entry/entry-process.js';
import {okAsync} from 'neverthrow';
import {SiteEngine, SiteService, SiteStore} from './site-edges.js';
import {Traps} from './traps.js';

const ADDRESS = '127.0.0.1';
const API_KEY = 'demo-key';
const KEY_SHA256 =
  'c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c';

/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 3_000;

const CONFIG = {
  nonce: 'n',
  operator: 'o',
  document: {
    base: {
      deployment: 'failures',
      recovery: {weigh: 'latency'},
      services: {
        drafts: {
          kind: 'generation',
          models: ['quote-writer'],
          idempotent: true,
          priorityClass: 'normal',
          deadlineMs: 10_000,
        },
        orders: plainService(false),
        stock: plainService(true),
      },
      clientAccounts: {demo: {keySha256: KEY_SHA256, maxConcurrent: 64}},
    },
    overlays: [{site: 'a', content: {}}],
  },
};

function plainService(idempotent: boolean) {
  const kind = 'plain';
  return {kind, idempotent, priorityClass: 'high', deadlineMs: 5_000};
}

/** A response to a caller. */
export interface SiteResponse {
  readonly status: number;
  /** Whether the request ran, by its refusal; empty if it was served. */
  readonly ran: string;
  readonly text: string;
}

/**
 * A running site, whose edges can be made to fail.
 *
 * @example
 * const site = new AgentSite();
 * await site.start();
 */
export class AgentSite {
  readonly traps = new Traps();
  readonly store = new SiteStore();
  readonly engines = [new SiteEngine(), new SiteEngine()];
  readonly services = [new SiteService(), new SiteService()];
  readonly stocks = [new SiteService(), new SiteService()];
  /** Tasks that have failed, by their log lines. */
  readonly failures: string[] = [];
  readonly vms: VmRecord[] = [];
  drained = 0;
  private readonly clock = new SystemClock();
  private readonly random = new SystemRandom();
  private readonly agents: AgentProcess[] = [];
  private readonly supervisor = new Supervisor({
    clock: this.clock,
    metrics: new Metrics(),
    logger: {
      ...SILENT_LOGGER,
      error: (message: string, fields: LogFields = {}) => {
        if (message === 'task failed') this.failures.push(String(fields.task));
      },
    },
  });
  private entry!: EntryProcess;
  private callers!: HttpListener;

  async start(): Promise<void> {
    this.store.put({...CONFIG_OBJECT, value: CONFIG});
    for (const [i, engine] of this.engines.entries())
      await this.startAgent(`engine-${i}`, 'drafts', {
        engine: this.traps.wrap('engine', engine),
      });
    for (const [i, service] of this.services.entries())
      await this.startAgent(`orders-${i}`, 'orders', {
        service: this.traps.wrap('orders', service),
      });
    for (const [i, service] of this.stocks.entries())
      await this.startAgent(`stock-${i}`, 'stock', {
        service: this.traps.wrap('stock', service),
      });
    await this.startEntry();
  }

  async stop(): Promise<void> {
    this.callers.close();
    this.entry.stop();
    for (const agent of this.agents) agent.stop();
    await new Promise((resolve) => setTimeout(resolve, 20));
  }

  drain(): void {
    this.entry.drain();
  }

  /** Number of requests that the entry and the agents count as running. */
  countRunning(): number {
    const all = [this.entry, ...this.agents];
    return all.reduce((sum, one) => sum + one.status().running, 0);
  }

  countUsable(): number {
    const {peers} = this.entry.status();
    return peers.filter(({state}) => state === 'usable').length;
  }

  countExecutions(path: string): number {
    return [...this.services, ...this.stocks].reduce(
      (sum, service) => sum + (service.executions.get(path) ?? 0),
      0,
    );
  }

  /** Generates tokens; the text has `[DONE]` if the output is complete. */
  generate(options: {tokens?: number; stream?: boolean} = {}) {
    const {tokens = 10, stream = true} = options;
    const body = {model: 'quote-writer', prompt: 'p', max_tokens: tokens};
    return this.send('/v1/completions', JSON.stringify({...body, stream}));
  }

  book(key: string): Promise<SiteResponse> {
    return this.send(`/services/orders/${key}`, key, {'idempotency-key': key});
  }

  callStock(path: string): Promise<SiteResponse> {
    return this.send(`/services/stock/${path}`, '');
  }

  async send(
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<SiteResponse> {
    const res = await request(`http://${ADDRESS}:${this.callers.port}${path}`, {
      method: 'POST',
      reset: true,
      headers: {
        authorization: `Bearer ${API_KEY}`,
        'content-type': 'application/json',
        'x-deadline-ms': String(DEADLINE_MS),
        ...headers,
      },
      body,
    });
    const text = await res.body.text();
    const ran = /"ran":"(\w+)"/.exec(text)?.[1] ?? '';
    return {status: res.statusCode, ran, text};
  }

  private async startEntry(): Promise<void> {
    const {clock, supervisor, traps} = this;
    const responses = traps.wrap('responses', {count: () => 0});
    const drained = traps.wrap('drained', {handle: () => this.drained++});
    this.entry = new EntryProcess({
      settings: createSettings(ProcessRole.ENTRY, 'entry-1'),
      clock,
      supervisor,
      random: traps.wrap('random', this.random),
      metrics: traps.wrap('metrics', new Metrics()),
      logger: traps.wrap('logger', SILENT_LOGGER),
      store: traps.wrap('store', this.store),
      vmList: traps.wrap('vms', {read: () => okAsync([...this.vms])}),
      countPendingResponses: () => responses.count(),
      onDrained: () => drained.handle(),
    });
    const port = (await this.entry.start())._unsafeUnwrap();
    this.vms.push(createRecord('entry-1', '', port));
    const handler = traps.wrap('handler', this.entry.callerHandler);
    this.callers = await listenHttp({
      app: createCallersApp({handler, supervisor}),
      address: ADDRESS,
      port: 0,
      clock,
      supervisor,
      logger: SILENT_LOGGER,
      counter: handler,
    });
  }

  private async startAgent(
    vm: string,
    service: string,
    drivers: TargetDrivers,
  ): Promise<void> {
    const {clock, random, supervisor, traps, store} = this;
    const metrics = traps.wrap('agentMetrics', new Metrics());
    const agent = new AgentProcess({
      settings: createSettings(ProcessRole.AGENT, vm),
      ...{clock, random, supervisor, metrics, drivers},
      logger: SILENT_LOGGER,
      limit: new TargetLimit({clock, metrics, logger: SILENT_LOGGER}),
      store: traps.wrap('agentStore', store),
      onDrained: () => undefined,
    });
    this.agents.push(agent);
    const port = (await agent.start())._unsafeUnwrap();
    this.vms.push(createRecord(vm, service, port));
  }
}

function createSettings(role: ProcessRole, vm: string) {
  const listen = {address: ADDRESS, port: 0};
  const names = {dataCentre: 'a', site: 'a', platformUrl: 'http://unused'};
  return {role, vm, ...names, peers: listen, operators: listen};
}

function createRecord(name: string, service: string, port: number): VmRecord {
  return {
    name,
    service,
    role: service === '' ? VmRole.ENTRY : VmRole.TARGET,
    state: VmState.LIVE,
    dataCentre: 'a',
    address: ADDRESS,
    peerPort: port,
  };
}
