/** Entries read the changes of the store through one of them. */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {orderReaders} from '../../src/core/relay/index.js';
import {
  SitePath,
  SiteService,
  siteConfig,
} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {DirectEntry} from '../support/direct-entry.js';
import {DirectSite, waitFor} from '../support/direct-site.js';
import {sleep} from '../support/poison-scenario.js';

/** Until every entry knows all others and has moved to its reader. */
const SETTLE_MS = 2_500;

/** Bound of the site on the application of a configuration. */
const CONFIG_APPLY_MS = 2_000;

/** Changes of the configuration, further apart than a reader's pause. */
const CHANGES = 6;
const CHANGE_INTERVAL_MS = 600;

/** Two reads for each change, and the idle ones in between. */
const MAX_CALLS = 40;

const FLEET = 6;

const {DESK} = SiteService;

/** Bound of the site after which a draining target gets no new work. */
const TARGET_DRAIN_MS = 2_000;

/** Changes of a target while its reader is turned away, and their distance. */
const DRAIN_CHANGES = 10;
const DRAIN_INTERVAL_MS = 300;

/** Readers that are lost one after the other. */
const LOST_READERS = 3;

const TIMEOUT_MS = 30_000;

describe('entries that read through each other', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  const start = async (entries: number) => {
    site = await DirectSite.start({entries, hasRelay: true, revokeMs: 5_000});
    await sleep(SETTLE_MS);
  };

  /** Indices of the entries, in the order in which they become readers. */
  const readersInOrder = () => {
    const entries = site.entries.map((_, i) => ({
      vm: `entry-${i + 1}`,
      dataCentre: 'a',
      address: '',
    }));
    const order = orderReaders({vm: '', dataCentre: 'a', entries});
    return order.map(({vm}) => Number(vm.slice('entry-'.length)) - 1);
  };

  /** Entries that have applied a version, but for the lost readers. */
  const countOthersAt = (version: number, lost: ReadonlySet<number>) =>
    versions().filter((v, i) => v === version && !lost.has(i)).length;

  const putConfig = (version: number) =>
    site.store.put({
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig({version}),
    });

  const versions = () =>
    site.entries.map(({process}) => process.routes.get()?.version);

  const expectVersion = async (version: number, boundMs: number) => {
    const startedMs = performance.now();
    while (performance.now() - startedMs < boundMs) {
      if (versions().every((v) => v === version)) return;
      await sleep(10);
    }
    expect(versions()).toEqual(versions().map(() => version));
  };

  it.each([{entries: 4}, {entries: 16}])(
    'make as many calls for changes with $entries entries',
    {timeout: TIMEOUT_MS},
    async ({entries}) => {
      await start(entries);
      const before = site.store.callCount(StoreObjectKind.CONFIG);
      for (let version = 2; version < 2 + CHANGES; version++) {
        putConfig(version);
        await expectVersion(version, CONFIG_APPLY_MS);
        await sleep(CHANGE_INTERVAL_MS);
      }
      const made = site.store.callCount(StoreObjectKind.CONFIG) - before;
      expect(made).toBeLessThanOrEqual(MAX_CALLS);
    },
  );

  it.each([
    {fault: 'killed', act: (i: number) => site.entries[i]!.stop()},
    {
      fault: 'stopped as planned',
      act: (i: number) => void site.entries[i]!.leave(),
    },
    {
      fault: 'cut off from the store',
      act: (i: number) => {
        site.storeEndpoints[i]!.mode = StoreMode.SILENT;
      },
    },
    {
      fault: 'turned away by the store',
      act: (i: number) => {
        site.storeEndpoints[i]!.mode = StoreMode.BUSY;
      },
    },
  ])(
    'learn of a change in time when reader after reader is $fault',
    {timeout: TIMEOUT_MS},
    async ({act}) => {
      await start(FLEET);
      const lost = new Set<number>();
      for (const reader of readersInOrder().slice(0, LOST_READERS)) {
        act(reader);
        lost.add(reader);
        const version = 1 + lost.size;
        putConfig(version);
        const startedMs = performance.now();
        while (countOthersAt(version, lost) < FLEET - lost.size) {
          expect(performance.now() - startedMs).toBeLessThan(CONFIG_APPLY_MS);
          await sleep(10);
        }
      }
    },
  );

  it(
    'learn in time of draining targets while the store turns their reader away',
    {timeout: TIMEOUT_MS},
    async () => {
      await start(FLEET);
      const target = await site.addTarget({service: DESK, zone: 'a'});
      const [reader] = readersInOrder();
      site.storeEndpoints[reader!]!.mode = StoreMode.BUSY;
      for (let i = 0; i < DRAIN_CHANGES; i++) {
        const isDraining = i % 2 === 0;
        const state = isDraining ? 'draining' : 'ready';
        site.register(target, {service: DESK, zone: 'a', state});
        const startedMs = performance.now();
        const knowsState = ({process}: DirectEntry) =>
          process.usableTargetIds().includes(target.id) !== isDraining;
        const others = site.entries.filter((_, j) => j !== reader);
        while (!others.every(knowsState)) {
          expect(performance.now() - startedMs).toBeLessThan(TARGET_DRAIN_MS);
          await sleep(10);
        }
        await sleep(DRAIN_INTERVAL_MS);
      }
    },
  );

  it(
    'include one whose port is taken, which answers nobody',
    {timeout: TIMEOUT_MS},
    async () => {
      site = await DirectSite.start({entries: 3, hasRelay: true});
      const taken = createServer().listen(0, '127.0.0.1');
      await once(taken, 'listening');
      const {port} = taken.address() as AddressInfo;
      const late = await DirectEntry.start({
        vm: 'entry-9',
        storeUrl: site.storeEndpoints[0]!.url,
        peerPort: port,
      });
      await sleep(SETTLE_MS);
      const before = site.store.callCount(StoreObjectKind.CONFIG);
      putConfig(2);
      await waitFor(() => late.process.routes.get()?.version === 2);
      // The reader's calls for the change; no entry adds its own.
      const made = site.store.callCount(StoreObjectKind.CONFIG) - before;
      expect(made).toBeLessThanOrEqual(4);
      late.stop();
      taken.close();
    },
  );

  it(
    'serve callers while the store is down and after it has returned',
    {timeout: TIMEOUT_MS},
    async () => {
      await start(5);
      await site.addTarget({service: SiteService.DESK, zone: 'a'});
      site.store.mode = StoreMode.RESET;
      await sleep(1_500);
      site.store.mode = StoreMode.UP;
      putConfig(2);
      await waitFor(() => versions().every((v) => v === 2));
      const reply = await site.call({path: SitePath.SAFE, entry: 4});
      expect(reply.status).toBe(200);
    },
  );
});
