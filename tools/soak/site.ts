/** The site of one run: its store, entries and targets. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../platform/names.js';
import type {Direction} from '../../stand-ins/relay/relay.js';
import {API_KEY, SiteService, siteConfig} from '../../stand-ins/site/config.js';
import type {EarlyResponse} from '../../stand-ins/site/early-response.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {KEY_LIFETIME_VERSIONS} from './checks/control.js';
import {STREAM_DEADLINE_MS, ZONES} from './consts.js';
import type {History} from './history.js';
import {SoakEntry} from './soak-entry.js';
import {SoakTarget} from './soak-target.js';
import {StandInProcess} from './stand-in-process.js';

/**
 * Entries listen on addresses `127.NETWORK.SUBNET.HOST`. The process id selects
 * network and subnet, so that concurrent soaks do not share an address.
 */
const FIRST_NETWORK = 20;
const NETWORKS = 200;
const SUBNETS = 250;
const FIRST_HOST = 10;

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;

/** Number of entries and targets. */
export interface SiteSize {
  readonly entries: number;
  /** Number of targets of each service in each zone. */
  readonly targets: number;
}

/** Key added by a configuration version; the permanent key for version 0. */
export function keyOf(version: number): string {
  return version === 0 ? API_KEY : `key-${version}`;
}

/**
 * Owns all processes of a run; must be closed after use.
 *
 * @example
 * const site = new SoakSite(history, {folder, size});
 * await site.start();
 */
export class SoakSite {
  readonly entries: SoakEntry[] = [];
  targets: SoakTarget[] = [];
  store!: StandInProcess;
  private targetNumber = 0;
  private version = 0;
  private isClosed = false;

  constructor(
    readonly history: History,
    private readonly options: {
      folder: string;
      size: SiteSize;
      /** Largest body that entries accept; that of `siteConfig` by default. */
      maxBodyBytes?: number;
    },
  ) {}

  /** Starts all processes and waits until all entries are ready. */
  async start(): Promise<void> {
    const {size, folder} = this.options;
    this.store = await StandInProcess.start({script: 'store-main.js'});
    await this.changeConfig();
    const services = Object.values(SiteService);
    const placements = ZONES.flatMap((zone) =>
      services.flatMap((service) =>
        Array.from({length: size.targets}, () => ({zone, service})),
      ),
    );
    await Promise.all(placements.map((placement) => this.addTarget(placement)));
    const network = `127.${FIRST_NETWORK + (process.pid % NETWORKS)}`;
    const subnet = Math.floor(process.pid / NETWORKS) % SUBNETS;
    const starts = Array.from({length: size.entries}, (_, index) =>
      SoakEntry.start({
        name: `entry-${index + 1}`,
        address: `${network}.${subnet}.${FIRST_HOST + index}`,
        zone: ZONES[index % ZONES.length]!,
        storePort: this.store.port,
        folder,
        history: this.history,
      }),
    );
    this.entries.push(...(await Promise.all(starts)));
    await this.waitUntilReady();
  }

  /** Starts one more target. */
  async addTarget(placement: {
    zone: string;
    service: SiteService;
  }): Promise<void> {
    if (this.isClosed) return;
    const {zone, service} = placement;
    const target = await SoakTarget.start({
      zone,
      service,
      id: `i-${++this.targetNumber}`,
      store: this.store,
      history: this.history,
    });
    this.targets.push(target);
    // The site may have been closed while the target started.
    if (this.isClosed) target.standIn.proc.kill();
  }

  /** Kills a target and starts another in its place after `downMs`. */
  async replaceTarget(target: SoakTarget, downMs: number): Promise<void> {
    this.targets = this.targets.filter((other) => other !== target);
    const killed = target.kill();
    await sleep(downMs);
    await this.addTarget(target);
    await killed;
  }

  /**
   * Writes the next configuration version to the store. It moves the route
   * `MOVING` to the other service, adds a key and revokes an old one.
   */
  async changeConfig(): Promise<void> {
    const version = ++this.version;
    const {DESK, SPARE} = SiteService;
    const movingTo = version % 2 === 0 ? SPARE : DESK;
    const oldest = Math.max(1, version - KEY_LIFETIME_VERSIONS + 1);
    const keys = [0, oldest, version].map(keyOf);
    const config = siteConfig({
      version,
      keys: [...new Set(keys)],
      movingTo,
      streamTimeoutMs: STREAM_DEADLINE_MS,
    });
    const {maxBodyBytes = config.limits.max_body_bytes} = this.options;
    const limits = {...config.limits, max_body_bytes: maxBodyBytes};
    const spec = {...config, limits};
    const sentMs = Date.now();
    const change = {version, movingTo, sentMs, ackMs: Infinity};
    this.history.configs.push(change);
    await this.store.execute('put', {
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec,
    });
    change.ackMs = Date.now();
  }

  /** Makes a target respond incorrectly for a time. */
  async applyTargetFault(
    target: SoakTarget,
    fault: TargetFault,
    durationMs: number,
  ): Promise<void> {
    await target.standIn.execute('setFault', fault);
    await sleep(durationMs);
    await target.standIn.execute('setFault', TargetFault.NONE);
  }

  /** Makes a target respond before it has read its requests for a time. */
  async applyEarlyResponse(
    target: SoakTarget,
    kind: EarlyResponse,
    durationMs: number,
  ): Promise<void> {
    await target.standIn.execute('setEarlyResponse', kind);
    await sleep(durationMs);
    await target.standIn.execute('setEarlyResponse', undefined);
  }

  /** Cuts the connections to targets for a time; by default both directions. */
  async disconnectTargets(
    targets: readonly SoakTarget[],
    durationMs: number,
    directions?: readonly Direction[],
  ): Promise<void> {
    for (const {relay} of targets) relay.cut(directions);
    await sleep(durationMs);
    for (const {relay} of targets) relay.restore();
  }

  /** Kills all processes and waits until they have exited. */
  async close(): Promise<void> {
    this.isClosed = true;
    const entries = this.entries.map((entry) => entry.kill());
    const standIns = [this.store, ...this.targets.map(({standIn}) => standIn)];
    for (const {proc} of standIns) proc.kill();
    await Promise.all([...entries, ...standIns.map(({proc}) => proc.exited)]);
    const relays = [
      ...this.targets.map(({relay}) => relay),
      ...this.entries.map(({storeRelay}) => storeRelay),
    ];
    await Promise.all(relays.map((relay) => relay.close()));
  }

  private async waitUntilReady(): Promise<void> {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    for (const entry of this.entries) {
      while (!(await entry.isReady())) {
        if (Date.now() > endMs) throw new Error(`${entry.name} is not ready`);
        await sleep(READY_POLL_MS);
      }
    }
  }
}
