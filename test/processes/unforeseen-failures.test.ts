/** What others write in the store must not end the program of an entry. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {callersEndpointOf} from '../../stand-ins/site/boot-file.js';
import {
  API_KEY,
  SitePath,
  SiteService,
  siteConfig,
} from '../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import {registrationOf} from '../../stand-ins/site/registration.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';
import {EntryProgram} from '../support/entry-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.41';

/** No client can be created for this address. */
const UNUSABLE_ADDRESS = '::1:8080';

const SETTLING_MS = 400;

describe('the program of a direct entry', () => {
  let store: StandInStore;
  let target: StandInTarget;
  let entry: EntryProgram;
  let calls = 0;

  beforeEach(async () => {
    store = new StandInStore();
    await store.start();
    target = new StandInTarget({
      id: 'i-1',
      copyNetwork: new LocalCopyNetwork(),
    });
    await target.start();
    const service = SiteService.DESK;
    store.put({
      kind: StoreObjectKind.TARGETS,
      name: target.id,
      spec: target.registration({service, zone: 'a'}),
    });
    const {host} = new URL(store.url);
    entry = new EntryProgram({address: ADDRESS, store: host});
  });

  afterEach(async () => {
    await entry.stop();
    target.crash();
    await store.stop();
  });

  const start = async () => {
    const spec = siteConfig({version: 1, movingTo: SiteService.SPARE});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    entry.start();
    await waitUntil({what: 'it is ready', check: () => entry.isReady()});
  };

  const call = (path: SitePath) =>
    sendSiteRequest({
      ...callersEndpointOf(ADDRESS),
      agent: new Agent(),
      path,
      key: API_KEY,
      attemptId: `try-${++calls}`,
      deadlineMs: 2_000,
    });

  const settle = () =>
    new Promise((resolve) => setTimeout(resolve, SETTLING_MS));

  it('serves others while a target has an unusable address', async () => {
    const service = SiteService.SPARE;
    const address = UNUSABLE_ADDRESS;
    const spec = registrationOf({service, address, zone: 'a', bornMs: 1});
    store.put({kind: StoreObjectKind.TARGETS, name: 'i-odd', spec});
    await start();
    const res = await call(SitePath.MOVING);
    expect([res.status, res.text]).toEqual([500, '{"error":"internal"}']);
    expect((await call(SitePath.UNSAFE)).status).toBe(200);
    await settle();
    expect(entry.end).toBeUndefined();
  });
});
