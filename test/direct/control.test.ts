/** Configuration, keys, registrations and shutdown of a direct entry. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {
  API_KEY,
  siteConfig,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const REVOKE_MS = 1_500;
/** The entry's longest long poll, plus a margin, in milliseconds. */
const OUTAGE_DETECTION_MS = 2_500;

/** Registrations that expired in an outage are removed after two seconds. */
const MIN_REMOVAL_MS = 1_900;
/** Those two seconds, plus the longest backoff between two reads. */
const MAX_REMOVAL_MS = 2_900;

describe('a direct entry', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start({revokeMs: REVOKE_MS});
    await site.addTarget({service: SiteService.DESK, zone: 'a'});
  });

  afterEach(() => site.stop());

  const status = async (key = API_KEY, path: string = SitePath.SAFE) =>
    (await site.call({path, key})).status;

  const putConfig = (version: number, keys?: string[]) =>
    site.store.put({
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig({version, keys}),
    });

  const activeVersion = () => site.entry.routes.get()?.version;

  it.each([
    {name: 'a known key', key: API_KEY, path: SitePath.SAFE, expected: 200},
    {name: 'no such key', key: 'other', path: SitePath.SAFE, expected: 401},
    {name: 'no such route', key: API_KEY, path: '/none/1', expected: 404},
  ])('responds $expected for $name', async ({key, path, expected}) => {
    expect(await status(key, path)).toBe(expected);
  });

  it('revokes a key at once and ignores older configurations', async () => {
    putConfig(7, ['new']);
    await waitFor(() => activeVersion() === 7);
    expect(await status()).toBe(401);
    putConfig(3);
    await sleep(50);
    expect(activeVersion()).toBe(7);
  });

  it('refuses all requests when the store is silent for the revocation bound', async () => {
    site.store.mode = StoreMode.SILENT;
    expect(await status()).toBe(200);
    await sleep(REVOKE_MS);
    const reply = await site.call({path: SitePath.SAFE});
    expect(reply.status).toBe(503);
    expect(reply.headers['retry-after']).toBeDefined();
    expect(await status(API_KEY, '/none/1')).toBe(503);
    site.store.mode = StoreMode.UP;
    await waitFor(() => site.entry.isReady());
    expect(await status()).toBe(200);
  });

  it('lists all objects again when the store has dropped its history', async () => {
    site.store.dropHistory();
    putConfig(9);
    site.store.dropHistory();
    await waitFor(() => activeVersion() === 9);
  });

  it.each([StoreMode.SILENT, StoreMode.RESET, StoreMode.BUSY])(
    'keeps serving known targets while the store is %s',
    async (mode) => {
      site.store.mode = mode;
      site.store.endLongPolls();
      expect(await status()).toBe(200);
    },
  );

  it('sends no more work to a draining target', async () => {
    const options = {service: SiteService.DESK, zone: 'a'};
    const next = await site.addTarget(options);
    const [first] = site.targets;
    site.register(first!, {...options, state: 'draining'});
    await waitFor(() => !site.entry.usableTargetIds().includes(first!.id));
    for (let i = 0; i < 5; i++) expect(await status()).toBe(200);
    expect(first!.runs).toHaveLength(0);
    expect(next.runs).toHaveLength(5);
  });

  it.each([
    {name: 'an unknown state', spec: {state: 'resting'}},
    {name: 'a missing address', spec: {address: undefined}},
    {name: 'slots that are not a number', spec: {slots: 'many'}},
    {name: 'an invalid address', spec: {address: 'somewhere'}},
  ])('ignores a registration with $name', async ({spec}) => {
    const [first] = site.targets;
    const valid = first!.registration({service: SiteService.DESK, zone: 'a'});
    site.store.put({
      kind: StoreObjectKind.TARGETS,
      name: 'i-forged',
      spec: {...valid, ...spec},
    });
    await sleep(50);
    expect(site.entry.usableTargetIds()).toEqual([first!.id]);
  });

  it('keeps targets for two seconds whose registrations expired in an outage', async () => {
    const [first] = site.targets;
    site.store.mode = StoreMode.RESET;
    site.store.endLongPolls();
    await sleep(OUTAGE_DETECTION_MS);
    site.store.remove({kind: StoreObjectKind.TARGETS, name: first!.id});
    site.store.mode = StoreMode.UP;
    const recoveredMs = performance.now();
    await waitFor(() => site.entry.isReady());
    let last = await status();
    while (last === 200 && performance.now() - recoveredMs < MAX_REMOVAL_MS) {
      await sleep(50);
      last = await status();
    }
    expect(last).toBe(503);
    expect(performance.now() - recoveredMs).toBeGreaterThan(MIN_REMOVAL_MS);
  });

  it('closes callers’ connections after their responses when it drains', async () => {
    const before = await site.call({path: SitePath.SAFE});
    expect(before.headers.connection).not.toBe('close');
    site.entry.startDraining();
    expect(site.entry.isReady()).toBe(false);
    const after = await site.call({path: SitePath.SAFE});
    expect(after.status).toBe(200);
    expect(after.headers.connection).toBe('close');
  });
});
