/** A direct entry, its targets respond at the first bytes of an upload. */
import {Agent} from 'node:http';

import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {callersEndpointOf} from '../../stand-ins/site/boot-file.js';
import {
  API_KEY,
  SitePath,
  SiteService,
  siteConfig,
} from '../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import {
  BROKEN_RESPONSES,
  EarlyResponse,
} from '../../stand-ins/site/early-response.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';
import {EntryProgram} from '../support/entry-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.7.2';

const MB = 1024 * 1024;
const MAX_BODY_BYTES = 4 * MB;
const DEADLINE_MS = 5_000;
const PACE = {events: 4, firstMs: 10, gapMs: 5};

const {DESK, WRITERS} = SiteService;
const {SAFE, UNSAFE, STREAM} = SitePath;

const KINDS = [...BROKEN_RESPONSES, EarlyResponse.STATUS_000];

const ROWS = [3 * MB, 300 * 1024].flatMap((bytes) =>
  [SAFE, UNSAFE, STREAM].flatMap((path) =>
    KINDS.map((kind) => ({bytes, path, kind})),
  ),
);

describe('an upload to targets that respond early', () => {
  let store: StandInStore;
  let targets: StandInTarget[];
  let entry: EntryProgram;
  let requests = 0;

  beforeAll(async () => {
    store = new StandInStore();
    await store.start();
    const config = siteConfig({version: 1});
    const limits = {...config.limits, max_body_bytes: MAX_BODY_BYTES};
    const spec = {...config, limits};
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    targets = [];
    for (const zone of ['a', 'b']) {
      await addTarget(DESK, zone);
      await addTarget(WRITERS, zone);
    }
    entry = new EntryProgram({
      address: ADDRESS,
      store: new URL(store.url).host,
    });
    entry.start();
  });

  beforeEach(async () => {
    for (const target of targets) target.earlyResponse = undefined;
    for (const path of [UNSAFE, STREAM]) {
      await waitUntil({
        what: `it serves ${path}`,
        check: async () => (await send(path)).status === 200,
      });
    }
  });

  afterAll(async () => {
    await entry.stop();
    for (const target of targets) target.crash();
    await store.stop();
  });

  async function addTarget(service: SiteService, zone: string) {
    const copyNetwork = new LocalCopyNetwork();
    const pace = service === WRITERS ? PACE : undefined;
    const id = `${service}-${zone}`;
    const target = new StandInTarget({id, copyNetwork, pace});
    await target.start();
    targets.push(target);
    const spec = target.registration({service, zone});
    store.put({kind: StoreObjectKind.TARGETS, name: id, spec});
  }

  /** Sends a request on a new connection, with a body of its own. */
  async function send(path: SitePath, bytes = 0) {
    const attemptId = `upload-${++requests}`;
    const res = await sendSiteRequest({
      ...callersEndpointOf(ADDRESS),
      agent: new Agent(),
      path,
      key: API_KEY,
      attemptId,
      deadlineMs: DEADLINE_MS,
      body: attemptId.padEnd(bytes, 'x'),
    });
    return {...res, attemptId};
  }

  // Guards against a part that passes as a whole response (MIXED).
  it.each(ROWS)('gets no part as whole: $path, $bytes, $kind', async (row) => {
    for (const target of targets) target.earlyResponse = row.kind;
    const {attemptId, status, isComplete} = await send(row.path, row.bytes);
    const runs = targets.flatMap((target) => target.runs);
    expect(runs.map((run) => run.attemptId)).toContain(attemptId);
    expect(status).toBeGreaterThanOrEqual(200);
    expect(status).toBeLessThan(600);
    expect(status < 300 && isComplete).toBe(false);
    expect(entry.end).toBeUndefined();
  });
});
