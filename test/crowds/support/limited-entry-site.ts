/** A direct entry with low limits, its store and its targets. */
import {Agent} from 'node:http';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';

import {
  SETTINGS_PATH_VARIABLE,
  StoreObjectKind,
} from '../../../platform/names.js';
import {
  bootFile,
  callersEndpointOf,
  FIRST_PEER_PORT,
  readinessAddressOf,
} from '../../../stand-ins/site/boot-file.js';
import {
  API_KEY,
  SitePath,
  SiteService,
  siteConfig,
} from '../../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../../stand-ins/site/copy-network.js';
import {StandInStore} from '../../../stand-ins/site/store.js';
import {StandInTarget} from '../../../stand-ins/site/target.js';
import {waitUntil} from '../../../tools/lab/lab.js';
import {sendSiteRequest} from '../../../tools/lab/site-caller.js';
import {Proc} from '../../../tools/lab/proc.js';
import {BoundsWatch, LIMITS, MEMORY_MB} from './process-bounds.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.71';

const METRICS_PORT = 9_471;

/** The largest body that the configuration allows, and of the large answers. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Deadline of the ordinary requests, in milliseconds. */
const DEADLINE_MS = 20_000;

/** Streams that go on as long as a crowd plays. */
const PACE = {events: 4_000, firstMs: 5, gapMs: 2};

/** Ports of an entry. */
export enum EntryPort {
  FRONTEND = 'frontend',
  READINESS = 'readiness',
  METRICS = 'metrics',
  PEERS = 'peers',
}

/**
 * A running entry of which the tests ask whether it still serves.
 *
 * @example
 * const site = await LimitedEntrySite.start();
 */
export class LimitedEntrySite {
  private readonly folder = mkdtempSync(join(tmpdir(), 'crowds-'));
  private readonly store = new StandInStore();
  private readonly targets: StandInTarget[] = [];
  private entry!: Proc;
  private watch!: BoundsWatch;
  private requests = 0;

  static async start(): Promise<LimitedEntrySite> {
    const site = new LimitedEntrySite();
    await site.store.start();
    const config = siteConfig({version: 1, movingTo: SiteService.SPARE});
    const limits = {...config.limits, max_body_bytes: MAX_BODY_BYTES};
    const spec = {...config, limits};
    site.store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    await site.addTarget('i-1', SiteService.DESK);
    await site.addTarget('i-2', SiteService.WRITERS);
    await site.addTarget('i-3', SiteService.SPARE);
    site.startEntry();
    await waitUntil({
      what: 'it serves',
      check: async () => (await site.sendOrder()) === 200,
    });
    return site;
  }

  get bounds(): BoundsWatch {
    return this.watch;
  }

  endpointOf(port: EntryPort): {host: string; port: number} {
    const at = (number: number) => ({host: ADDRESS, port: number});
    switch (port) {
      case EntryPort.FRONTEND:
        return callersEndpointOf(ADDRESS);
      case EntryPort.READINESS:
        return at(Number(readinessAddressOf(ADDRESS).split(':')[1]));
      case EntryPort.METRICS:
        return at(METRICS_PORT);
      case EntryPort.PEERS:
        return at(FIRST_PEER_PORT);
    }
  }

  /** Sends an ordinary request on a new connection; returns the status. */
  async sendOrder(): Promise<number> {
    const {status} = await sendSiteRequest({
      ...callersEndpointOf(ADDRESS),
      agent: new Agent(),
      path: SitePath.UNSAFE,
      key: API_KEY,
      attemptId: `order-${++this.requests}`,
      deadlineMs: DEADLINE_MS,
      body: 'ordinary',
    });
    return status;
  }

  /** Asks whether the entry takes new callers; returns the status. */
  async askReady(): Promise<number> {
    const url = `http://${readinessAddressOf(ADDRESS)}/-/readyz`;
    const {statusCode, body} = await request(url, {reset: true});
    await body.dump();
    return statusCode;
  }

  async stop(): Promise<void> {
    this.watch.stop();
    this.entry.kill();
    await this.entry.exited;
    for (const target of this.targets) target.crash();
    await this.store.stop();
    rmSync(this.folder, {recursive: true});
  }

  private async addTarget(id: string, service: SiteService): Promise<void> {
    const copyNetwork = new LocalCopyNetwork();
    const pace = service === SiteService.WRITERS ? PACE : undefined;
    const bodyBytes = service === SiteService.SPARE ? MAX_BODY_BYTES : 0;
    const target = new StandInTarget({id, copyNetwork, pace, bodyBytes});
    await target.start();
    this.targets.push(target);
    const spec = target.registration({service, zone: 'a'});
    this.store.put({kind: StoreObjectKind.TARGETS, name: id, spec});
  }

  private startEntry(): void {
    const path = join(this.folder, 'boot.json');
    const boot = bootFile({
      name: 'entry-1',
      address: ADDRESS,
      zone: 'a',
      store: new URL(this.store.url).host,
      bounds: {grace_s: 2},
    });
    const limits = {memory_mb: MEMORY_MB, max_fds: LIMITS.descriptors};
    writeFileSync(path, JSON.stringify({...boot, limits}));
    this.entry = Proc.start({
      script: 'src/daemon/direct-main.js',
      args: ['--metrics-port', String(METRICS_PORT)],
      env: {[SETTINGS_PATH_VARIABLE]: path},
      limits: LIMITS,
    });
    this.watch = new BoundsWatch(this.entry);
  }
}
