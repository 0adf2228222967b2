/** Direct entries between a stand-in store and stand-in targets. */
import type {Agent} from 'node:http';

import type {CallerServer} from '../../platform/caller-server.js';
import {Kind} from '../../platform/names.js';
import type {Logger} from '../../src/core/logs/index.js';
import type {DirectProcess} from '../../src/direct/direct-process.js';
import type {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {KEY, siteConfig} from '../../stand-ins/site/config.js';
import type {StoreDoor} from '../../stand-ins/site/store.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import type {StreamPace} from '../../stand-ins/site/target.js';
import {StandInTarget, TargetWorld} from '../../stand-ins/site/target.js';
import type {Reply} from '../../tools/lab/site-caller.js';
import {callSite} from '../../tools/lab/site-caller.js';
import {DirectEntry} from './direct-entry.js';

const DEADLINE_MS = 4_000;

/** A target of the site. */
export interface TargetOptions {
  readonly service: SiteService;
  readonly zone: string;
  readonly pace?: StreamPace;
}

/** What a site is started with. */
export interface SiteOptions {
  readonly revokeMs?: number;
  /** Entries before the same targets; one where it is left out. */
  readonly entries?: number;
  readonly logger?: Logger;
}

/** The whole site in this process. */
export class DirectSite {
  readonly store: StandInStore;
  readonly targets: StandInTarget[] = [];
  readonly entries: DirectEntry[] = [];
  /** The address of the store for each entry. */
  readonly storeEndpoints: StoreDoor[] = [];
  private readonly targetOptions = new Map<StandInTarget, TargetOptions>();
  private readonly copyNetwork = new TargetWorld();
  private attempts = 0;

  private constructor(
    store: StandInStore,
    private readonly options: SiteOptions,
  ) {
    this.store = store;
  }

  static async start(options: SiteOptions = {}): Promise<DirectSite> {
    const store = new StandInStore();
    await store.start();
    store.put({
      kind: Kind.CONFIG,
      name: 'main',
      spec: siteConfig({version: 1}),
    });
    const site = new DirectSite(store, options);
    for (let i = 0; i < (options.entries ?? 1); i++) {
      site.storeEndpoints.push(await store.openDoor());
      await site.startEntry(i);
    }
    await waitFor(() => site.entries.every((e) => e.process.isReady()));
    return site;
  }

  /** The first entry. */
  get entry(): DirectProcess {
    return this.entries[0]!.process;
  }

  get server(): CallerServer {
    return this.entries[0]!.server;
  }

  get agent(): Agent {
    return this.entries[0]!.agent;
  }

  get port(): number {
    return this.entries[0]!.port;
  }

  /** Starts an entry, also in place of one that was killed. */
  async startEntry(i: number): Promise<void> {
    const {revokeMs, logger} = this.options;
    this.entries[i] = await DirectEntry.start({
      vm: `entry-${i + 1}`,
      storeUrl: this.storeEndpoints[i]!.url,
      revokeMs,
      logger,
    });
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
      this.targetOptions.set(target, {service, zone, pace});
      added.push(target);
      this.register(target, {service, zone});
    }
    await waitFor(() =>
      this.entries.every(({process}) => {
        const known = process.usableTargetIds();
        return added.every((target) => known.includes(target.id));
      }),
    );
    return added;
  }

  /** Has a target start again as another life, and register itself. */
  async restartTarget(target: StandInTarget): Promise<void> {
    await target.restart();
    this.register(target, this.targetOptions.get(target)!);
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
    /** The entry that is called; the first where it is left out. */
    entry?: number;
    deadlineMs?: number;
    /** Has the caller hang up. */
    signal?: AbortSignal;
  }): Promise<Reply> {
    const {key = KEY, entry = 0, ...call} = options;
    const {agent, port} = this.entries[entry]!;
    return callSite({
      agent,
      deadlineMs: DEADLINE_MS,
      ...call,
      key,
      host: '127.0.0.1',
      port,
      attemptId: `try-${++this.attempts}`,
    });
  }

  async stop(): Promise<void> {
    for (const entry of this.entries) entry.stop();
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
