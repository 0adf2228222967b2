/** A site of direct entries, a stand-in store and stand-in targets. */
import type {Agent} from 'node:http';

import type {CallerServer} from '../../platform/caller-server.js';
import {StoreObjectKind} from '../../platform/names.js';
import type {DirectProcess} from '../../src/direct/direct-process.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import type {
  SiteConfigOptions,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {API_KEY, siteConfig} from '../../stand-ins/site/config.js';
import type {StoreEndpoint} from '../../stand-ins/site/store.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import type {StreamPace} from '../../stand-ins/site/target-types.js';
import type {SiteResponse} from '../../tools/lab/site-caller.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';
import type {DirectEntryOptions} from './direct-entry.js';
import {DirectEntry} from './direct-entry.js';

const DEADLINE_MS = 4_000;

/** Options of a target. */
export interface TargetOptions {
  readonly service: SiteService;
  readonly zone: string;
  readonly pace?: StreamPace;
  /** Duration of a plain call, in milliseconds; 0 by default. */
  readonly workMs?: number;
  /** Version of its software; 'v1' by default. */
  readonly version?: string;
  /** Size of the bodies of plain calls, in bytes; small by default. */
  readonly bodyBytes?: number;
}

/** Options of a site. */
export interface SiteOptions extends Pick<
  DirectEntryOptions,
  'logger' | 'wrapEdges' | 'wrapParts' | 'rollout'
> {
  /** Time within which a revoked key must be refused; undefined for no bound. */
  readonly revokeMs?: number;
  /** Number of entries, all with the same targets; 1 by default. */
  readonly entries?: number;
  /** Whether entries read the store through each other. */
  readonly hasRelay?: boolean;
  /** Options of the configuration. */
  readonly config?: Omit<SiteConfigOptions, 'version'>;
}

/** Entries, store and targets of a site, all in the test process. */
export class DirectSite {
  readonly store: StandInStore;
  readonly targets: StandInTarget[] = [];
  readonly entries: DirectEntry[] = [];
  /** A store address for each entry, which can fail independently. */
  readonly storeEndpoints: StoreEndpoint[] = [];
  private readonly targetOptions = new Map<StandInTarget, TargetOptions>();
  readonly copyNetwork = new LocalCopyNetwork();
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
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig({...options.config, version: 1}),
    });
    const site = new DirectSite(store, options);
    for (let i = 0; i < (options.entries ?? 1); i++) {
      site.storeEndpoints.push(await store.openEndpoint());
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

  /** Starts an entry, or restarts one that was killed. */
  async startEntry(i: number): Promise<void> {
    const {revokeMs, hasRelay, logger, wrapEdges, wrapParts, rollout} =
      this.options;
    this.entries[i] = await DirectEntry.start({
      vm: `entry-${i + 1}`,
      storeUrl: this.storeEndpoints[i]!.url,
      revokeMs,
      peerPort: hasRelay === true ? 0 : undefined,
      logger,
      wrapEdges,
      wrapParts,
      rollout,
    });
  }

  /** Starts a target and waits until every entry may use it. */
  async addTarget(options: TargetOptions): Promise<StandInTarget> {
    const [target] = await this.addTargets([options]);
    return target!;
  }

  /** Starts targets and waits until every entry may use all of them. */
  async addTargets(options: readonly TargetOptions[]) {
    const added: StandInTarget[] = [];
    for (const {service, zone, ...rest} of options) {
      const id = `i-${this.targets.length + 1}`;
      const target = new StandInTarget({
        id,
        copyNetwork: this.copyNetwork,
        ...rest,
      });
      await target.start();
      this.copyNetwork.targetsByAddress.set(target.listenAddress, target);
      this.targets.push(target);
      this.targetOptions.set(target, {service, zone, ...rest});
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

  /** Restarts a target as a new incarnation and registers it. */
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
      kind: StoreObjectKind.TARGETS,
      name: target.id,
      spec: target.registration({service, zone, state}),
    });
  }

  /** Sends a request and reads the response to its end. */
  call(options: {
    path: SitePath | string;
    method?: string;
    key?: string;
    headers?: Record<string, string>;
    body?: string;
    onData?: (text: string) => void;
    /** HTTP agent; by default the one of the entry. */
    agent?: Agent;
    /** Index of the entry that is called; 0 by default. */
    entry?: number;
    deadlineMs?: number;
    /** Makes the caller disconnect. */
    signal?: AbortSignal;
  }): Promise<SiteResponse> {
    const {key = API_KEY, entry = 0, ...call} = options;
    const {agent, port} = this.entries[entry]!;
    return sendSiteRequest({
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
  throw new Error('condition not met within 2 s');
}
