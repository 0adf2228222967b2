/** Calls that the client of the platform's store makes and counts. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {StoreSource, StoreWriter} from '../../platform/store-client.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {RecordedLosses} from '../../src/core/poison/index.js';
import {StandInStore} from '../../stand-ins/site/store.js';

const KIND = StoreObjectKind.LOSSES;
const NO_LOSSES: RecordedLosses = {losses: [], harmless: []};

describe('the client of the store', () => {
  let store: StandInStore;
  let metrics: Metrics;

  beforeEach(async () => {
    store = new StandInStore();
    await store.start();
    metrics = new Metrics();
  });

  afterEach(() => store.stop());

  const createSource = () =>
    new StoreSource({
      url: store.url,
      kind: KIND,
      metrics,
    });

  const createWriter = () =>
    new StoreWriter<RecordedLosses>({url: store.url, kind: KIND, metrics});

  // Guards against changes between the pages of a list that are missed (DRAIN).
  it.each([
    {what: 'on an earlier page', name: 'entry-1'},
    {what: 'on a later page', name: 'entry-3'},
  ])('waits for changes since the first page: $what', async ({name}) => {
    for (const name of ['entry-1', 'entry-2', 'entry-3'])
      store.put({kind: KIND, name, spec: NO_LOSSES});
    store.pageSize = 2;
    store.onPage = () => {
      store.onPage = () => undefined;
      store.remove({kind: KIND, name});
    };
    const source = createSource();
    const {revision, epoch} = (await source.list())._unsafeUnwrap();
    const query = {since: revision, epoch, waitMs: 100};
    const changes = (await source.waitForChanges(query))._unsafeUnwrap();
    expect(changes.changes).toMatchObject([{name, isDeleted: true}]);
  });

  it.each([
    {label: 'losses list', act: () => createSource().list()},
    {
      label: 'losses watch',
      act: () =>
        createSource().waitForChanges({since: 100, epoch: 1, waitMs: 1}),
    },
    {
      label: 'losses create',
      act: () => createWriter().createIfAbsent('entry-1', NO_LOSSES),
    },
    {
      label: 'losses update',
      act: () => createWriter().upsert('entry-1', NO_LOSSES),
    },
    {label: 'losses remove', act: () => createWriter().remove('entry-1')},
  ])('counts a call as "$label"', async ({label, act}) => {
    expect((await act()).isOk()).toBe(true);
    const text = await metrics.render();
    expect(text).toContain(`store_calls_total{label="${label}"} 1`);
  });
});
