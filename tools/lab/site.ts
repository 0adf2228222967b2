/** A small test site: platform, targets with agents, and entries. */
import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {request} from 'undici';

import {HttpObjectStore} from '../../src/adapters/index.js';
import type {ConfigDocument} from '../../src/core/config/index.js';
import {checkDeployment, CONFIG_OBJECT} from '../../src/core/config/index.js';
import type {Daemon, NamedValues, StandIn} from './lab.js';
import {ProcessHarness, sendControl, waitUntil} from './lab.js';
import {EXAMPLES} from './paths.js';
import type {ProcLimits} from './proc.js';

/** The data centres of the quickstart deployment. */
export const DATA_CENTRES: readonly string[] = ['waw', 'poz'];

/** A target with its agent. */
export interface Target {
  /** Name of the VM in the platform's VM list. */
  readonly vm: string;
  /** The engine or plain service. */
  readonly standIn: StandIn;
  readonly agent: Daemon;
  /** Relay between the agent and its target, if the site has relays. */
  readonly targetRelay?: StandIn;
  /** Relay between entries and the agent, if the site has relays. */
  readonly agentRelay?: StandIn;
}

/** Size of a site and flags of its stand-ins. */
export interface SiteOptions {
  /** Number of entries; 2 by default. */
  readonly entries?: number;
  /** Number of engines; 2 by default. */
  readonly engines?: number;
  /** Number of `orders` services; 0 by default. */
  readonly orders?: number;
  /** Number of `stock` services; 0 by default. */
  readonly stock?: number;
  readonly engineFlags?: NamedValues;
  readonly serviceFlags?: NamedValues;
  readonly platformFlags?: NamedValues;
  /** Puts relays in front of targets and agents, to inject network faults. */
  readonly relays?: boolean;
  /** Limits of entries and agents; none by default. */
  readonly limits?: ProcLimits;
  /** Edits the base of the quickstart's configuration before it is applied. */
  readonly editBase?: (base: Record<string, unknown>) => void;
}

/**
 * A running site; must be closed after use.
 *
 * @example
 * const site = await Site.create({entries: 2, engines: 2});
 */
export class Site {
  readonly harness = new ProcessHarness();
  readonly engines: Target[] = [];
  readonly orders: Target[] = [];
  readonly stock: Target[] = [];
  readonly entries: Daemon[] = [];
  platform!: StandIn;
  /** Counts bookings, including those of services that have exited since. */
  ledger!: StandIn;

  private constructor(private readonly options: SiteOptions) {}

  /** Starts all processes and waits until each entry can use each target. */
  static async create(options: SiteOptions = {}): Promise<Site> {
    const site = new Site(options);
    try {
      await site.start();
      return site;
    } catch (cause) {
      await site.close();
      throw cause;
    }
  }

  close(): Promise<void> {
    return this.harness.close();
  }

  /** Starts one more engine with its agent. */
  async addEngine(flags: NamedValues = {}): Promise<Target> {
    const target = await this.startEngine(this.engines.length, flags);
    this.engines.push(target);
    return target;
  }

  private async startEngine(
    index: number,
    flags: NamedValues = {},
  ): Promise<Target> {
    const standIn = await this.harness.startStandIn({
      name: 'engine',
      flags: {...this.options.engineFlags, ...flags},
    });
    return this.addTarget({
      vm: `engine-${index + 1}`,
      standIn,
      kind: 'engine',
      service: 'drafts',
      index,
    });
  }

  /** Starts one more plain service with its agent. */
  async addService(service: 'orders' | 'stock'): Promise<Target> {
    const list = service === 'orders' ? this.orders : this.stock;
    const target = await this.startService(service, list.length);
    list.push(target);
    return target;
  }

  private async startService(
    service: 'orders' | 'stock',
    index: number,
  ): Promise<Target> {
    const standIn = await this.harness.startStandIn({
      name: 'service',
      flags: {
        'ledger-url': this.ledger.url,
        ...this.options.serviceFlags,
      },
    });
    return this.addTarget({
      vm: `${service}-${index + 1}`,
      standIn,
      kind: 'service',
      service,
      index,
    });
  }

  /** Starts one more entry. */
  async addEntry(): Promise<Daemon> {
    const entry = await this.startEntry(this.entries.length);
    this.entries.push(entry);
    return entry;
  }

  private async startEntry(index: number): Promise<Daemon> {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!;
    const vm = `entry-${index + 1}`;
    const entry = await this.harness.startDaemon({
      role: 'entry',
      limits: this.options.limits,
      settings: {
        vm,
        dataCentre,
        site: dataCentre,
        platformUrl: this.platform.url,
      },
    });
    await this.register({
      name: vm,
      role: 'entry',
      dataCentre,
      peerPort: entry.peersPort,
      service: '',
    });
    return entry;
  }

  /** Starts a new agent for a target whose agent exited; the VM name stays. */
  async restartAgent(target: Target, kind: string, service: string) {
    const index = 0;
    return this.addTarget({...target, kind, service, index});
  }

  /** Adds or updates a VM in the platform's VM list. */
  async register(vm: {
    name: string;
    role: string;
    dataCentre: string;
    peerPort: number;
    service: string;
    state?: string;
  }): Promise<void> {
    await sendControl({
      url: `${this.platform.url}/vms/${vm.name}`,
      method: 'PUT',
      body: {state: 'live', address: '127.0.0.1', ...vm},
    });
  }

  /** Removes a VM from the platform's VM list. */
  async unregister(name: string): Promise<void> {
    const url = `${this.platform.url}/vms/${name}`;
    await sendControl({url, method: 'DELETE'});
  }

  /** Marks a target as leaving (draining) in the platform's VM list. */
  async markAsLeaving(target: Target, service: string): Promise<void> {
    await this.register({
      name: target.vm,
      role: 'target',
      dataCentre: DATA_CENTRES[0]!,
      peerPort: target.agent.peersPort,
      service,
      state: 'leaving',
    });
  }

  /** Waits until every entry can use every running target. */
  async waitUntilUsable(): Promise<void> {
    const targets = [...this.engines, ...this.orders, ...this.stock];
    const expected = targets.filter((t) => t.agent.proc.isRunning).length;
    for (const entry of this.entries) {
      if (!entry.proc.isRunning) continue;
      await waitUntil({
        what: `${entry.vm} can use ${expected} targets`,
        check: async () => (await countUsable(entry)) >= expected,
      });
    }
  }

  private async start(): Promise<void> {
    const {entries = 2, engines = 2, orders = 0, stock = 0} = this.options;
    this.platform = await this.harness.startStandIn({
      name: 'platform',
      flags: {'vm-lag-ms': 0, ...this.options.platformFlags},
    });
    this.ledger = await this.harness.startStandIn({name: 'ledger'});
    await this.applyConfig();
    await Promise.all([
      startMembers(this.engines, engines, (i) => this.startEngine(i)),
      startMembers(this.orders, orders, (i) => this.startService('orders', i)),
      startMembers(this.stock, stock, (i) => this.startService('stock', i)),
      startMembers(this.entries, entries, (i) => this.startEntry(i)),
    ]);
    await this.waitUntilUsable();
  }

  private async applyConfig(): Promise<void> {
    const document = loadExample('quickstart');
    this.options.editBase?.(document.base as Record<string, unknown>);
    const store = new HttpObjectStore({baseUrl: this.platform.url});
    const value = {nonce: 'lab', operator: 'lab', document};
    const created = await store.create({...CONFIG_OBJECT, value});
    created._unsafeUnwrap();
  }

  private async addTarget(options: {
    vm: string;
    standIn: StandIn;
    kind: string;
    service: string;
    index: number;
  }): Promise<Target> {
    const {vm, standIn, kind, service, index} = options;
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!;
    const targetRelay = await this.addRelay(standIn.port);
    const agent = await this.harness.startDaemon({
      role: 'agent',
      limits: this.options.limits,
      settings: {
        vm,
        dataCentre,
        site: dataCentre,
        platformUrl: this.platform.url,
        'target.kind': kind,
        'target.url': targetRelay?.url ?? standIn.url,
        'target.service': service,
      },
    });
    const agentRelay = await this.addRelay(agent.peersPort);
    const peerPort = agentRelay?.port ?? agent.peersPort;
    const name = vm;
    await this.register({name, role: 'target', dataCentre, peerPort, service});
    return {vm, standIn, agent, targetRelay, agentRelay};
  }

  private async addRelay(port: number): Promise<StandIn | undefined> {
    if (this.options.relays !== true) return undefined;
    const flags = {to: `127.0.0.1:${port}`};
    return this.harness.startStandIn({name: 'relay', flags});
  }
}

/** Starts `count` members concurrently and appends them in order. */
async function startMembers<T>(
  list: T[],
  count: number,
  start: (index: number) => Promise<T>,
): Promise<void> {
  const starts = Array.from({length: count}, (_, index) => start(index));
  list.push(...(await Promise.all(starts)));
}

/**
 * Loads and checks the deployment in a folder of `examples/`.
 *
 * @example
 * const document = loadExample('quickstart');
 */
export function loadExample(name: string): ConfigDocument {
  const root = fileURLToPath(new URL(`${name}/`, EXAMPLES));
  const overlays = readdirSync(`${root}overlays`);
  const read = (file: string) => ({
    file,
    text: readFileSync(file, 'utf8'),
  });
  const checked = checkDeployment({
    baseFile: read(`${root}base.yaml`),
    overlayFiles: overlays.map((file) => read(`${root}overlays/${file}`)),
  });
  return checked._unsafeUnwrap().document;
}

/** Number of targets that an entry can use; 0 while it is not ready. */
async function countUsable(entry: Daemon): Promise<number> {
  const res = await request(`${entry.operatorsUrl}/status`);
  const status = (await res.body.json()) as {
    ready: boolean;
    peers: Array<{state: string}>;
  };
  if (!status.ready) return 0;
  return status.peers.filter((peer) => peer.state === 'usable').length;
}
