/** Processes that start, or are let back, after the store was restored. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {RESTORE_SETTLE_MS} from '../../src/core/sync/index.js';
import {
  API_KEY,
  siteConfig,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import type {StandInStore} from '../../stand-ins/site/store.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const REVOKE_MS = 1_500;

/** Bound of the site on the application of a configuration. */
const CONFIG_APPLY_MS = 2_000;

/**
 * Time after which a restore is long ago, in milliseconds: an idle entry has noticed
 * it by its next read, has waited and has told the others.
 */
const LONG_AGO_MS = CONFIG_APPLY_MS + RESTORE_SETTLE_MS + 1_500;

/** Longest start of an entry that has nothing to wait for, in milliseconds. */
const START_MS = RESTORE_SETTLE_MS / 4;

const TIMEOUT_MS = 30_000;

const OTHER_KEY = 'other';

const OLD = {version: 1, keys: [API_KEY, OTHER_KEY]};
const NEW = {version: 2, keys: [OTHER_KEY]};

/** Which entries do not know what the store held before. */
enum Newcomer {
  ONE_STARTS = 'one starts',
  ALL_START = 'all start',
  /** It runs with the old configuration and is let back. */
  TURNED_AWAY = 'one was turned away',
}

/** When things happen, in milliseconds after the return of the store. */
interface RestoreRow {
  readonly newcomer: Newcomer;
  /** When newcomers start or are let back; negative while it is away. */
  readonly atMs: number;
  readonly writtenAgainMs: number;
  /** Whether the store is restored once more just before newcomers start. */
  readonly isRestoredTwice?: boolean;
  /** No bound on the revocation of keys. */
  readonly isUnbounded?: boolean;
}

const {ONE_STARTS, ALL_START, TURNED_AWAY} = Newcomer;

const ROWS: RestoreRow[] = [
  {newcomer: ONE_STARTS, atMs: -300, writtenAgainMs: 1_000},
  {newcomer: ONE_STARTS, atMs: 300, writtenAgainMs: 1_900},
  {newcomer: ONE_STARTS, atMs: 1_300, writtenAgainMs: 1_000},
  {newcomer: ALL_START, atMs: -300, writtenAgainMs: 1_900},
  {newcomer: ALL_START, atMs: 300, writtenAgainMs: 1_900},
  {newcomer: TURNED_AWAY, atMs: 300, writtenAgainMs: 1_900},
  // Another entry knows for longer what is missing.
  {newcomer: ONE_STARTS, atMs: 300, writtenAgainMs: 4_000},
  {newcomer: TURNED_AWAY, atMs: 300, writtenAgainMs: 4_000},
  ...[ONE_STARTS, ALL_START].flatMap((newcomer) => [
    {newcomer, atMs: 300, writtenAgainMs: 1_900, isRestoredTwice: true},
    {newcomer, atMs: 300, writtenAgainMs: 1_900, isUnbounded: true},
  ]),
];

describe('after the store was restored', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  /** The operator takes a key away. */
  const writeNew = (store: StandInStore) =>
    store.put({
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig(NEW),
    });

  const versionAt = (entry: number) =>
    site.entries[entry]!.process.routes.get()?.version;

  const statusOf = async (key: string, entry: number) =>
    (await site.call({path: SitePath.SAFE, key, entry})).status;

  /** Starts a site and returns a copy of the store without the newer keys. */
  async function startSite({newcomer, isUnbounded}: RestoreRow) {
    const revokeMs = isUnbounded === true ? undefined : REVOKE_MS;
    site = await DirectSite.start({entries: 2, revokeMs, config: OLD});
    await site.addTarget({service: SiteService.DESK, zone: 'a'});
    const copy = site.store.copy();
    if (newcomer === TURNED_AWAY) {
      site.storeEndpoints[1]!.mode = StoreMode.BUSY;
      site.store.endLongPolls();
      await sleep(20);
    }
    writeNew(site.store);
    await waitFor(() => versionAt(0) === NEW.version);
    if (newcomer === ONE_STARTS) await waitFor(() => versionAt(1) === 2);
    await sleep(REVOKE_MS);
    return copy;
  }

  async function bringIn(newcomer: Newcomer): Promise<void> {
    site.storeEndpoints[1]!.mode = StoreMode.UP;
    if (newcomer === ALL_START) await site.startEntry(0);
    if (newcomer !== TURNED_AWAY) await site.startEntry(1);
  }

  /** Whether an entry serves the key that was taken away. */
  async function servesTakenKey(entries: number[]): Promise<boolean> {
    const statuses = entries.map((entry) => statusOf(API_KEY, entry));
    return (await Promise.all(statuses)).includes(200);
  }

  // Guards against keys, and routes, that an acknowledged configuration has taken
  // away and a process takes from the copy (CONFIG).
  it.each(ROWS)(
    'no taken key is served if $newcomer at $atMs, written again at $writtenAgainMs, twice $isRestoredTwice, unbounded $isUnbounded',
    {timeout: TIMEOUT_MS},
    async (row) => {
      const {newcomer, atMs, writtenAgainMs, isRestoredTwice} = row;
      const copy = await startSite(row);
      if (newcomer !== TURNED_AWAY) site.entries[1]!.stop();
      if (newcomer === ALL_START) site.entries[0]!.stop();
      const newcomers = newcomer === ALL_START ? [0, 1] : [1];
      site.store.mode = StoreMode.RESET;
      site.store.endLongPolls();
      if (atMs < 0) await bringIn(newcomer);
      await sleep(Math.max(0, -atMs));
      site.store.restore(copy);
      site.store.mode = StoreMode.UP;
      const returnedMs = performance.now();
      const {store} = site;
      const written = sleep(writtenAgainMs).then(() => writeNew(store));
      if (atMs > 0) await sleep(atMs);
      if (isRestoredTwice === true) site.store.restore(copy);
      if (atMs > 0) await bringIn(newcomer);
      const settledMs = Math.max(writtenAgainMs, atMs + RESTORE_SETTLE_MS);
      const untilMs = returnedMs + settledMs + CONFIG_APPLY_MS;
      while (performance.now() < untilMs) {
        expect(await servesTakenKey(newcomers)).toBe(false);
        await sleep(20);
      }
      await written;
      for (const entry of newcomers) {
        expect(await statusOf(OTHER_KEY, entry)).toBe(200);
        expect(await statusOf(API_KEY, entry)).toBe(401);
      }
    },
  );

  /** Time from the start of an entry until it serves, in milliseconds. */
  async function measureStart(entry: number): Promise<number> {
    const startedMs = performance.now();
    await site.startEntry(entry);
    while ((await statusOf(OTHER_KEY, entry)) !== 200) await sleep(5);
    return performance.now() - startedMs;
  }

  // Guards against starts that are slow long after a restore.
  it.each([
    {name: 'was never restored', restores: 0},
    {name: 'was restored long ago', restores: 1},
    {name: 'was restored twice long ago', restores: 2},
  ])(
    'an entry serves soon if the store $name',
    {timeout: TIMEOUT_MS},
    async ({restores}) => {
      site = await DirectSite.start({entries: 2, config: OLD});
      await site.addTarget({service: SiteService.DESK, zone: 'a'});
      for (let i = 0; i < restores; i++) {
        site.store.restore(site.store.copy());
        await sleep(LONG_AGO_MS);
      }
      site.entries[1]!.stop();
      expect(await measureStart(1)).toBeLessThan(START_MS);
      for (const entry of site.entries) entry.stop();
      expect(await measureStart(0)).toBeLessThan(START_MS);
    },
  );
});
