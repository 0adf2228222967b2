/** A quarantine ends when an entry tells that it has served the request. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {fingerprintOf} from '../../src/core/generation/fingerprint.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {DirectSite} from '../support/direct-site.js';
import {sleep} from '../support/poison-scenario.js';

const BODY = 'the same of all callers';
const PACE = {events: 5, firstMs: 20, gapMs: 5};
const ENTRIES = 2;

/** Time for a change in the store to reach all entries, in milliseconds. */
const PROPAGATION_MS = 300;

const FINGERPRINT = fingerprintOf({
  clientAccount: 'account-a',
  parts: [SitePath.STREAM, Buffer.from(BODY)],
});

const RECORD = {clientAccount: 'account-a', crashes: ['i-1@1', 'i-2@1']};
const REFUTATION = {losses: [], harmless: [FINGERPRINT]};

describe('a quarantined request', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start({entries: ENTRIES});
    const service = SiteService.WRITERS;
    await site.addTargets([{service, zone: 'a', pace: PACE}]);
  });

  afterEach(() => site.stop());

  const quarantine = () =>
    site.store.put({
      kind: StoreObjectKind.QUARANTINE,
      name: FINGERPRINT,
      spec: RECORD,
    });

  const refute = (spec: object = REFUTATION) =>
    site.store.put({
      kind: StoreObjectKind.LOSS_ALERTS,
      name: FINGERPRINT,
      spec,
    });

  const statuses = async () => {
    const entries = Array.from({length: ENTRIES}, (_, i) => i);
    const replies = entries.map((entry) =>
      site.call({path: SitePath.STREAM, body: BODY, entry}),
    );
    return (await Promise.all(replies)).map(({status}) => status);
  };

  it('is served again once an entry has served it', async () => {
    quarantine();
    await sleep(PROPAGATION_MS);
    expect(await statuses()).toEqual([503, 503]);
    refute();
    await sleep(PROPAGATION_MS);
    expect(await statuses()).toEqual([200, 200]);
  });

  it('is served if an entry had served it before the quarantine', async () => {
    refute();
    await sleep(PROPAGATION_MS);
    quarantine();
    await sleep(PROPAGATION_MS);
    expect(await statuses()).toEqual([200, 200]);
  });

  it('stays refused if the alert tells only its losses', async () => {
    quarantine();
    const losses = [{request: FINGERPRINT, life: 'i-3@1', isSettled: true}];
    refute({losses, harmless: []});
    await sleep(PROPAGATION_MS);
    expect(await statuses()).toEqual([503, 503]);
  });

  it('can be quarantined again by new losses', async () => {
    quarantine();
    await sleep(PROPAGATION_MS);
    refute();
    await sleep(PROPAGATION_MS);
    const {LOSS_ALERTS, QUARANTINE} = StoreObjectKind;
    for (const kind of [LOSS_ALERTS, QUARANTINE])
      site.store.remove({kind, name: FINGERPRINT});
    await sleep(PROPAGATION_MS);
    quarantine();
    await sleep(PROPAGATION_MS);
    expect(await statuses()).toEqual([503, 503]);
  });
});
