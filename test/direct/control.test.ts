/** Configuration, keys, registrations and stops of a direct entry. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Kind} from '../../platform/names.js';
import {
  KEY,
  siteConfig,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const REVOKE_MS = 1_500;
/** The entry's longest wait for a change, and its slack, in milliseconds. */
const OUTAGE_DETECTION_MS = 2_500;

/** Registrations that lapsed in an outage have two seconds to come back. */
const MIN_REMOVAL_MS = 1_900;
/** Those two seconds, and the entry's longest pause between two calls. */
const MAX_REMOVAL_MS = 2_900;

describe('a direct entry', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start({revokeMs: REVOKE_MS});
    await site.addTarget({service: SiteService.DESK, zone: 'a'});
  });

  afterEach(() => site.stop());

  const status = async (key = KEY, path: string = SitePath.SAFE) =>
    (await site.call({path, key})).status;

  const putConfig = (version: number, keys?: string[]) =>
    site.store.put({
      kind: Kind.CONFIG,
      name: 'main',
      spec: siteConfig({version, keys}),
    });

  const activeVersion = () => site.entry.routes.get()?.version;

  it.each([
    {name: 'a known key', key: KEY, path: SitePath.SAFE, expected: 200},
    {name: 'no such key', key: 'other', path: SitePath.SAFE, expected: 401},
    {name: 'no such route', key: KEY, path: '/none/1', expected: 404},
  ])('answers $expected for $name', async ({key, path, expected}) => {
    expect(await status(key, path)).toBe(expected);
  });

  it('takes a key away at once, and never goes back', async () => {
    putConfig(7, ['new']);
    await waitFor(() => activeVersion() === 7);
    expect(await status()).toBe(401);
    putConfig(3);
    await sleep(50);
    expect(activeVersion()).toBe(7);
  });

  it('refuses keys, not routes, once the store is silent for long', async () => {
    site.store.mode = StoreMode.SILENT;
    expect(await status()).toBe(200);
    await sleep(REVOKE_MS);
    const reply = await site.call({path: SitePath.SAFE});
    expect(reply.status).toBe(503);
    expect(reply.headers['retry-after']).toBeDefined();
    expect(await status(KEY, '/none/1')).toBe(503);
    site.store.mode = StoreMode.UP;
    await waitFor(() => site.entry.isReady());
    expect(await status()).toBe(200);
  });

  it('lists anew when the store has dropped its history', async () => {
    site.store.dropHistory();
    putConfig(9);
    site.store.dropHistory();
    await waitFor(() => activeVersion() === 9);
  });

  it.each([StoreMode.SILENT, StoreMode.RESET, StoreMode.BUSY])(
    'keeps serving known targets while the store is %s',
    async (mode) => {
      site.store.mode = mode;
      site.store.cutWaiters();
      expect(await status()).toBe(200);
    },
  );

  it('gives a leaving target no more work', async () => {
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
    {name: 'a foreign state', spec: {state: 'resting'}},
    {name: 'a missing address', spec: {address: undefined}},
    {name: 'slots that are no number', spec: {slots: 'many'}},
    {name: 'an address that is none', spec: {address: 'somewhere'}},
  ])('ignores a registration with $name', async ({spec}) => {
    const [first] = site.targets;
    const sound = first!.registration({service: SiteService.DESK, zone: 'a'});
    site.store.put({
      kind: Kind.TARGETS,
      name: 'i-forged',
      spec: {...sound, ...spec},
    });
    await sleep(50);
    expect(site.entry.usableTargetIds()).toEqual([first!.id]);
  });

  it('holds on to targets whose registrations lapse in an outage', async () => {
    const [first] = site.targets;
    site.store.mode = StoreMode.RESET;
    site.store.cutWaiters();
    await sleep(OUTAGE_DETECTION_MS);
    site.store.remove({kind: Kind.TARGETS, name: first!.id});
    site.store.mode = StoreMode.UP;
    const backMs = performance.now();
    await waitFor(() => site.entry.isReady());
    let last = await status();
    while (last === 200 && performance.now() - backMs < MAX_REMOVAL_MS) {
      await sleep(50);
      last = await status();
    }
    expect(last).toBe(503);
    expect(performance.now() - backMs).toBeGreaterThan(MIN_REMOVAL_MS);
  });

  it('closes callers’ connections with their answers when it stops', async () => {
    const before = await site.call({path: SitePath.SAFE});
    expect(before.headers.connection).not.toBe('close');
    site.entry.startDraining();
    expect(site.entry.isReady()).toBe(false);
    const after = await site.call({path: SitePath.SAFE});
    expect(after.status).toBe(200);
    expect(after.headers.connection).toBe('close');
  });
});
