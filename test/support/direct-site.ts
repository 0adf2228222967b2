/** A direct entry between a stand-in store and stand-in targets. */
import {Agent} from 'node:http';

import {CallerServer} from '../../platform/caller-server.js';
import {Kind} from '../../platform/names.js';
import {createPlatformEdges} from '../../platform/platform-edges.js';
import {SeededRandom, SystemClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {DirectProcess} from '../../src/direct/direct-process.js';
import type {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {KEY, siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import type {StreamPace} from '../../stand-ins/site/target.js';
import {StandInTarget, TargetWorld} from '../../stand-ins/site/target.js';
import type {Reply} from '../../tools/lab/site-caller.js';
import {callSite} from '../../tools/lab/site-caller.js';

const SEED = 20261204;
const DEADLINE_MS = 4_000;

/** A target of the site. */
export interface TargetOptions {
  readonly service: SiteService;
  readonly zone: string;
  readonly pace?: StreamPace;
}

/** The whole site in this process. */
export class DirectSite {
  readonly store: StandInStore;
  readonly targets: StandInTarget[] = [];
  readonly entry: DirectProcess;
  readonly server: CallerServer;
  readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  port = 0;
  private readonly copyNetwork = new TargetWorld();
  private attempts = 0;

  private constructor(store: StandInStore, revokeMs?: number) {
    this.store = store;
    const clock = new SystemClock();
    this.entry = new DirectProcess({
      settings: {
        vm: 'entry-1',
        address: '127.0.0.1',
        dataCentre: 'a',
        callers: {host: '127.0.0.1', port: 0},
        readiness: {host: '127.0.0.1', port: 0},
        storeUrl: store.url,
        stopGraceMs: 2_000,
        targetLeaveMs: 2_000,
        keyTrustMs: revokeMs,
        retryBudget: {ratio: 0.8, windowMs: 10_000, slack: 150},
      },
      clock,
      random: new SeededRandom(SEED),
      ...createPlatformEdges({url: store.url}),
      metrics: new Metrics(),
      logger: SILENT_LOGGER,
    });
    this.server = new CallerServer({
      clock,
      handler: {
        handle: (req, res) => this.entry.handle(req, res),
        isLeaving: () => this.entry.leaving.get(),
      },
    });
  }

  static async start(options: {revokeMs?: number} = {}): Promise<DirectSite> {
    const store = new StandInStore();
    await store.start();
    store.put({
      kind: Kind.CONFIG,
      name: 'main',
      spec: siteConfig({version: 1}),
    });
    const site = new DirectSite(store, options.revokeMs);
    site.entry.start();
    site.port = await site.server.listen({host: '127.0.0.1', port: 0});
    await waitFor(() => site.entry.isReady());
    return site;
  }

  /** Starts a target and waits until the entry knows it. */
  async addTarget(options: TargetOptions): Promise<StandInTarget> {
    const [target] = await this.addTargets([options]);
    return target!;
  }

  /** Starts targets and waits until the entry knows them all. */
  async addTargets(options: readonly TargetOptions[]) {
    const added: StandInTarget[] = [];
    for (const {service, zone, pace} of options) {
      const id = `i-${this.targets.length + 1}`;
      const target = new StandInTarget({
        id,
        copyNetwork: this.copyNetwork,
        pace,
      });
      await target.start();
      this.copyNetwork.byAddress.set(target.listensAt, target);
      this.targets.push(target);
      added.push(target);
      this.register(target, {service, zone});
    }
    await waitFor(() => {
      const known = this.entry.knownTargets();
      return added.every((target) => known.includes(target.id));
    });
    return added;
  }

  register(
    target: StandInTarget,
    options: {service: SiteService; zone: string; state?: string},
  ): void {
    const {service, zone, state} = options;
    this.store.put({
      kind: Kind.TARGETS,
      name: target.id,
      spec: target.registration({service, zone, state}),
    });
  }

  /** Sends a request and reads what comes until the connection's end. */
  call(options: {
    path: SitePath | string;
    method?: string;
    key?: string;
    headers?: Record<string, string>;
    body?: string;
    onData?: (text: string) => void;
    /** Holds another connection than the usual one. */
    agent?: Agent;
  }): Promise<Reply> {
    const {key = KEY, ...call} = options;
    return callSite({
      agent: this.agent,
      ...call,
      key,
      host: '127.0.0.1',
      port: this.port,
      attemptId: `try-${++this.attempts}`,
      deadlineMs: DEADLINE_MS,
    });
  }

  async stop(): Promise<void> {
    this.entry.stop();
    this.agent.destroy();
    this.server.closeListener();
    this.server.closeAll();
    for (const target of this.targets) target.crash();
    await this.store.stop();
  }
}

/** Waits until a condition holds, for at most two seconds. */
export async function waitFor(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error('the condition did not come to hold');
}
