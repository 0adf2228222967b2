/** The site of a replay: its store, targets and entries. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../platform/names.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import type {StoreEndpoint} from '../../stand-ins/site/store.js';
import {replayConfig} from './config.js';
import {ENTRY_ZONES, READY_TIMEOUT_MS} from './consts.js';
import {ReplayEntry} from './replay-entry.js';
import {ReplayTargets} from './targets.js';

/**
 * Entries listen on addresses `127.NETWORK.SUBNET.HOST`. The process id selects
 * network and subnet, so that concurrent replays do not share an address.
 */
const FIRST_NETWORK = 20;
const NETWORKS = 200;
const SUBNETS = 250;
const FIRST_HOST = 10;

const STORE_DELAY_MS = 4;
const READY_POLL_MS = 100;

/**
 * Owns all processes of a replay; must be closed after use.
 *
 * @example
 * const site = new ReplaySite({root, folder});
 * await site.start();
 */
export class ReplaySite {
  readonly store = new StandInStore();
  readonly targets = new ReplayTargets(this.store);
  readonly entries: ReplayEntry[] = [];
  /** Time at which all entries were ready, as a Unix time in milliseconds. */
  startedAtMs = 0;
  private version = 0;
  private isClosed = false;
  /** Leaves no process behind if the replay itself fails. */
  private readonly killAll = () => {
    for (const entry of this.entries) entry.killNow();
  };

  constructor(
    private readonly options: {
      root: string;
      folder: string;
      /** Data centre of each entry; those of the site by default. */
      entryZones?: readonly string[];
    },
  ) {}

  /** Starts everything and waits until all entries are ready. */
  async start(): Promise<void> {
    process.once('exit', this.killAll);
    this.store.delayMs = STORE_DELAY_MS;
    await this.store.start();
    this.changeConfig();
    await this.targets.start();
    const network = `127.${FIRST_NETWORK + (process.pid % NETWORKS)}`;
    const subnet = Math.floor(process.pid / NETWORKS) % SUBNETS;
    const {root, folder, entryZones = ENTRY_ZONES} = this.options;
    for (const [index, zone] of entryZones.entries()) {
      const entry = new ReplayEntry({
        name: `entry-${index + 1}`,
        address: `${network}.${subnet}.${FIRST_HOST + index}`,
        store: await this.store.openEndpoint(),
        ...{zone, root, folder},
      });
      this.entries.push(entry);
      entry.start();
    }
    await this.waitUntilReady();
    this.startedAtMs = Date.now();
  }

  /** Writes the next version of the configuration. */
  changeConfig(extraRoutes = 0): void {
    const spec = replayConfig({version: ++this.version, extraRoutes});
    this.store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
  }

  /** Starts an entry again after a time, unless the site was closed. */
  async restart(entry: ReplayEntry, downMs: number): Promise<void> {
    await sleep(downMs);
    if (!this.isClosed) entry.start();
  }

  storeOf(entry: ReplayEntry): StoreEndpoint {
    return entry.options.store;
  }

  /** Kills all processes and waits until they have ended. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.entries.map((entry) => entry.kill()));
    process.off('exit', this.killAll);
    this.targets.close();
    await this.store.stop();
  }

  private async waitUntilReady(): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    const isReady = (entry: ReplayEntry) =>
      entry.lives.at(-1)?.readyMs !== undefined;
    while (!this.entries.every(isReady) && performance.now() < endMs)
      await sleep(READY_POLL_MS);
  }
}
