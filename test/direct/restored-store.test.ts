/** The store comes back from a copy that is some seconds old. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {
  API_KEY,
  siteConfig,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {DirectSite, waitFor} from '../support/direct-site.js';
import {CRASH_MARK, restartCrashedTargets} from '../support/poison-scenario.js';

/** Bound of the site on the application of a configuration. */
const CONFIG_APPLY_MS = 2_000;

/** Until every entry knows all others and has moved to its reader. */
const SETTLE_MS = 2_500;

const REVOKE_MS = 1_500;

/** Time from the return of the store until all has been written again, in ms. */
const REWRITE_MS = 1_800;

/** Time in which entries write again what they had written, in milliseconds. */
const RESTORE_MS = 3_000;

/** Revisions that the store gives out before and after it is restored. */
const REVISIONS = 40;

const TIMEOUT_MS = 30_000;

const {DESK, WRITERS} = SiteService;

describe('after the store was restored from a copy', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  const putConfig = (version: number, keys?: string[]) =>
    site.store.put({
      kind: StoreObjectKind.CONFIG,
      name: 'main',
      spec: siteConfig({version, keys}),
    });

  const versions = () =>
    site.entries.map(({process}) => process.routes.get()?.version);

  /** Turns all entries away from the store, or lets them back. */
  const setMode = (mode: StoreMode) => {
    for (const endpoint of site.storeEndpoints) endpoint.mode = mode;
  };

  const usableIds = (entry = 0) =>
    site.entries[entry]!.process.usableTargetIds();

  it.each([
    {entries: 1, hasRelay: false, isCut: true},
    {entries: 1, hasRelay: false, isCut: false},
    {entries: 4, hasRelay: true, isCut: true},
    {entries: 4, hasRelay: true, isCut: false},
  ])(
    'misses no change at a revision that was there before: $entries entries, cut $isCut',
    {timeout: TIMEOUT_MS},
    async ({entries, hasRelay, isCut}) => {
      site = await DirectSite.start({entries, hasRelay});
      if (hasRelay) await sleep(SETTLE_MS);
      const copy = site.store.copy();
      site.store.addRevisions(REVISIONS);
      putConfig(2);
      await waitFor(() => versions().every((version) => version === 2));
      site.store.addRevisions(REVISIONS);
      await sleep(CONFIG_APPLY_MS);
      if (isCut) setMode(StoreMode.SILENT);
      site.store.restore(copy);
      putConfig(3);
      site.store.addRevisions(3 * REVISIONS);
      setMode(StoreMode.UP);
      await sleep(CONFIG_APPLY_MS + SETTLE_MS);
      expect(versions()).toEqual(site.entries.map(() => 3));
    },
  );

  it('misses no change that only the reader has read', async () => {
    site = await DirectSite.start({entries: 4, hasRelay: true});
    await sleep(SETTLE_MS);
    const copy = site.store.copy();
    site.store.addRevisions(REVISIONS);
    await sleep(CONFIG_APPLY_MS);
    site.store.restore(copy);
    for (let version = 2; version < 6; version++) {
      site.store.addRevisions(REVISIONS);
      putConfig(version);
      await sleep(CONFIG_APPLY_MS / 4);
    }
    await sleep(CONFIG_APPLY_MS);
    expect(versions()).toEqual(site.entries.map(() => 5));
  });

  it('keeps a newer configuration that the copy lacks', async () => {
    site = await DirectSite.start({});
    const copy = site.store.copy();
    putConfig(2);
    await waitFor(() => versions()[0] === 2);
    site.store.restore(copy);
    await sleep(REWRITE_MS);
    expect(versions()).toEqual([2]);
  });

  it.each([
    {name: 'had begun to drain', state: 'draining'},
    {name: 'had left', state: undefined},
  ])('sends no work to a target that $name', async ({state}) => {
    site = await DirectSite.start({});
    const [leaving, other] = await site.addTargets([
      {service: DESK, zone: 'a'},
      {service: DESK, zone: 'b'},
    ]);
    const copy = site.store.copy();
    const kind = StoreObjectKind.TARGETS;
    if (state === undefined) site.store.remove({kind, name: leaving!.id});
    else site.register(leaving!, {service: DESK, zone: 'a', state});
    await waitFor(() => !usableIds().includes(leaving!.id));
    site.store.restore(copy);
    await sleep(REWRITE_MS);
    expect(usableIds()).toEqual([other!.id]);
  });

  it('uses a target again that registers anew after it had left', async () => {
    site = await DirectSite.start({});
    const target = await site.addTarget({service: DESK, zone: 'a'});
    const copy = site.store.copy();
    const kind = StoreObjectKind.TARGETS;
    site.store.remove({kind, name: target.id});
    await waitFor(() => usableIds().length === 0);
    site.store.restore(copy);
    await sleep(REWRITE_MS);
    site.register(target, {service: DESK, zone: 'a'});
    await waitFor(() => usableIds().includes(target.id));
  });

  it('goes on using a target that the copy lacks until it registers again', async () => {
    site = await DirectSite.start({});
    const copy = site.store.copy();
    const target = await site.addTarget({service: DESK, zone: 'a'});
    site.store.restore(copy);
    const untilMs = performance.now() + REWRITE_MS;
    while (performance.now() < untilMs) {
      expect((await site.call({path: SitePath.SAFE})).status).toBe(200);
      await sleep(50);
    }
    site.register(target, {service: DESK, zone: 'a'});
    await sleep(CONFIG_APPLY_MS);
    expect(usableIds()).toEqual([target.id]);
  });

  it('accepts no key whose revocation the copy lacks', async () => {
    site = await DirectSite.start({entries: 2, revokeMs: REVOKE_MS});
    await site.addTarget({service: DESK, zone: 'a'});
    const copy = site.store.copy();
    site.storeEndpoints[1]!.mode = StoreMode.BUSY;
    site.store.endLongPolls();
    await sleep(20);
    putConfig(2, ['other']);
    const acknowledgedMs = performance.now();
    await waitFor(() => versions()[0] === 2);
    site.store.restore(copy);
    site.storeEndpoints[1]!.mode = StoreMode.UP;
    const rewriteMs = performance.now() + REWRITE_MS;
    while (performance.now() < acknowledgedMs + REVOKE_MS) await sleep(10);
    while (performance.now() < rewriteMs) {
      for (const entry of [0, 1]) {
        const {status} = await site.call({path: SitePath.SAFE, entry});
        expect([401, 503]).toContain(status);
      }
      await sleep(20);
    }
    putConfig(2, ['other']);
    await sleep(REWRITE_MS);
    const other = await site.call({
      path: SitePath.SAFE,
      key: 'other',
      entry: 1,
    });
    expect(other.status).toBe(200);
    const revoked = await site.call({path: SitePath.SAFE, entry: 1});
    expect(revoked.status).toBe(401);
  });

  it('accepts keys again once the configuration is written again', async () => {
    site = await DirectSite.start({revokeMs: REVOKE_MS});
    await site.addTarget({service: DESK, zone: 'a'});
    const copy = site.store.copy();
    putConfig(2, [API_KEY]);
    await waitFor(() => versions()[0] === 2);
    site.store.restore(copy);
    await sleep(REWRITE_MS);
    putConfig(2, [API_KEY]);
    await sleep(REWRITE_MS);
    expect((await site.call({path: SitePath.SAFE})).status).toBe(200);
  });

  it('keeps a quarantine that the copy lacks, and writes it again', async () => {
    site = await DirectSite.start({entries: 2});
    await site.addTargets(
      ['a', 'a', 'b', 'b', 'c', 'c'].map((zone) => ({service: DESK, zone})),
    );
    const copy = site.store.copy();
    restartCrashedTargets(site);
    const kind = StoreObjectKind.QUARANTINE;
    const send = (entry: number) =>
      site.call({path: SitePath.SAFE, body: CRASH_MARK, entry});
    for (let i = 0; i < 8 && site.store.namesOf(kind).length === 0; i++) {
      await send(0);
      await sleep(500);
    }
    expect(site.store.namesOf(kind)).toHaveLength(1);
    await sleep(REWRITE_MS);
    site.store.restore(copy);
    for (const target of site.targets)
      site.register(target, {service: DESK, zone: 'a'});
    await sleep(RESTORE_MS);
    const crashed = site.targets.flatMap(({crashes}) => crashes).length;
    for (const entry of [0, 1]) expect((await send(entry)).status).toBe(503);
    const crashes = site.targets.flatMap((target) => target.crashes);
    expect(crashes).toHaveLength(crashed);
    expect(site.store.namesOf(kind)).toHaveLength(1);
    expect(site.store.namesOf(StoreObjectKind.LOSSES)).toContain('entry-1');
    const alerts = site.store.namesOf(StoreObjectKind.LOSS_ALERTS);
    expect(alerts.length).toBeGreaterThan(0);
  });

  it('registers entries again that the copy lacks', async () => {
    site = await DirectSite.start({entries: 1, hasRelay: true});
    const copy = site.store.copy();
    const kind = StoreObjectKind.ENTRIES;
    for (const name of site.store.namesOf(kind))
      copy.objects.delete(`${kind}/${name}`);
    await sleep(SETTLE_MS);
    expect(site.store.namesOf(kind)).toEqual(['entry-1']);
    site.store.restore(copy);
    await sleep(RESTORE_MS);
    expect(site.store.namesOf(kind)).toEqual(['entry-1']);
  });

  it('removes an entry again that had left', async () => {
    site = await DirectSite.start({entries: 3, hasRelay: true});
    await sleep(SETTLE_MS);
    const kind = StoreObjectKind.ENTRIES;
    const copy = site.store.copy();
    await site.entries[2]!.leave();
    await sleep(SETTLE_MS);
    expect(site.store.namesOf(kind)).not.toContain('entry-3');
    site.store.restore(copy);
    await sleep(RESTORE_MS);
    expect(site.store.namesOf(kind).sort()).toEqual(['entry-1', 'entry-2']);
  });

  it('completes streams that ran meanwhile', async () => {
    site = await DirectSite.start({});
    const copy = site.store.copy();
    const pace = {events: 60, firstMs: 10, gapMs: 20};
    await site.addTarget({service: WRITERS, zone: 'a', pace});
    const streaming = site.call({path: SitePath.STREAM, deadlineMs: 3_000});
    await sleep(200);
    site.store.restore(copy);
    const {status, isComplete} = await streaming;
    expect({status, isComplete}).toEqual({status: 200, isComplete: true});
  });
});
