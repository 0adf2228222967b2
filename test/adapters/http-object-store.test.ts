import type {ResultAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {HttpObjectStore} from '../../src/adapters/index.js';
import type {
  StoreError,
  WatchEvent,
  WatchHandle,
} from '../../src/core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../../src/core/edges/index.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startPlatform} from '../../stand-ins/platform/server.js';
import {UNREACHABLE_URL, post, startStubServer} from '../support/http.js';

const KIND = ObjectKind.CLAIM;
const KEY = {kind: KIND, name: 'firm/a b'};
const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 100;
const PART_GAP_MS = 20;
const LONG_DELAY_MS = 60_000;
const MEGABYTE = 1024 * 1024;

let platform: RunningServer;
let store: HttpObjectStore;

beforeEach(async () => {
  platform = await startPlatform({latencyMs: 0, logLength: 4});
  store = new HttpObjectStore({baseUrl: platform.url, timeoutMs: TIMEOUT_MS});
});

afterEach(() => platform.close());

describe('HttpObjectStore', () => {
  it('creates, reads, updates, lists and removes', async () => {
    const created = await store.create({...KEY, value: {n: 1}});
    const {version} = created._unsafeUnwrap();
    const changed = await store.update({
      ...KEY,
      value: 'ż',
      expectedVersion: version,
    });
    const object = changed._unsafeUnwrap();
    expect(object).toEqual({...KEY, version: version + 1, value: 'ż'});
    await store.create({kind: KIND, name: 'other', value: null});
    const listed = await store.list({kind: KIND, prefix: 'firm/'});
    expect(listed._unsafeUnwrap()).toEqual([object]);
    const read = await store.read(KEY);
    expect(read._unsafeUnwrap().extract()).toEqual(object);
    const removed = await store.remove({
      ...KEY,
      expectedVersion: object.version,
    });
    expect(removed.isOk()).toBe(true);
    const afterRemoval = await store.read(KEY);
    expect(afterRemoval._unsafeUnwrap().isNothing()).toBe(true);
  });
});

type Operation = () => ResultAsync<unknown, StoreError>;

const OPERATIONS = {
  create: () => store.create({...KEY, value: 1}),
  update: () => store.update({...KEY, value: 2, expectedVersion: 1}),
  remove: () => store.remove({...KEY, expectedVersion: 1}),
  read: () => store.read(KEY),
  list: () => store.list({kind: KIND}),
};

const FAILURES: ReadonlyArray<{
  name: string;
  prepare: () => unknown;
  run: Operation;
  kind: StoreErrorKind;
}> = [
  {
    name: 'EXISTS for a second create',
    prepare: OPERATIONS.create,
    run: OPERATIONS.create,
    kind: StoreErrorKind.EXISTS,
  },
  {
    name: 'CONFLICT for an update with a wrong version',
    prepare: OPERATIONS.create,
    run: () => store.update({...KEY, value: 2, expectedVersion: 9}),
    kind: StoreErrorKind.CONFLICT,
  },
  {
    name: 'CONFLICT for a removal with a wrong version',
    prepare: OPERATIONS.create,
    run: () => store.remove({...KEY, expectedVersion: 9}),
    kind: StoreErrorKind.CONFLICT,
  },
  {
    name: 'NOT_FOUND for an update of a missing object',
    prepare: () => undefined,
    run: OPERATIONS.update,
    kind: StoreErrorKind.NOT_FOUND,
  },
  {
    name: 'NOT_FOUND for a removal of a missing object',
    prepare: () => undefined,
    run: OPERATIONS.remove,
    kind: StoreErrorKind.NOT_FOUND,
  },
  {
    name: 'INVALID for a value that is too large',
    prepare: () => undefined,
    run: () => store.create({...KEY, value: 'x'.repeat(MEGABYTE)}),
    kind: StoreErrorKind.INVALID,
  },
  {
    name: 'INVALID for a value that is far too large',
    prepare: () => undefined,
    run: () => store.create({...KEY, value: 'x'.repeat(3 * MEGABYTE)}),
    kind: StoreErrorKind.INVALID,
  },
  {
    name: 'INVALID for a value that is not JSON',
    prepare: () => undefined,
    run: () => store.create({...KEY, value: 1n}),
    kind: StoreErrorKind.INVALID,
  },
];

function injectFault(body: object): Promise<Response> {
  return post(`${platform.url}/faults`, body);
}

async function runExpectingError(run: Operation): Promise<StoreErrorKind> {
  return (await run())._unsafeUnwrapErr().kind;
}

describe('HttpObjectStore errors', () => {
  it.each(FAILURES)('reports $name', async ({prepare, run, kind}) => {
    await prepare();
    expect(await runExpectingError(run)).toBe(kind);
  });

  it.each(Object.entries(OPERATIONS))(
    'reports UNAVAILABLE for %s where nothing listens',
    async (_name, run) => {
      store = new HttpObjectStore({baseUrl: UNREACHABLE_URL});
      expect(await runExpectingError(run)).toBe(StoreErrorKind.UNAVAILABLE);
    },
  );

  it.each(Object.entries(OPERATIONS))(
    'reports UNAVAILABLE for %s while the platform is down',
    async (_name, run) => {
      await injectFault({mode: 'down'});
      expect(await runExpectingError(run)).toBe(StoreErrorKind.UNAVAILABLE);
    },
  );

  it('reports UNAVAILABLE for a write that failed before its effect', async () => {
    await injectFault({mode: 'fail_before_effect', count: 1});
    const kind = await runExpectingError(OPERATIONS.create);
    expect(kind).toBe(StoreErrorKind.UNAVAILABLE);
    expect((await OPERATIONS.create()).isOk()).toBe(true);
  });

  it.each([
    ['create', StoreErrorKind.UNKNOWN],
    ['update', StoreErrorKind.UNKNOWN],
    ['remove', StoreErrorKind.UNKNOWN],
    ['read', StoreErrorKind.UNAVAILABLE],
    ['list', StoreErrorKind.UNAVAILABLE],
  ] as const)('reports a timeout of %s as %s', async (name, kind) => {
    const timeoutMs = SHORT_TIMEOUT_MS;
    store = new HttpObjectStore({baseUrl: platform.url, timeoutMs});
    await injectFault({mode: 'slow', delayMs: LONG_DELAY_MS});
    expect(await runExpectingError(OPERATIONS[name])).toBe(kind);
  });

  it('reports UNKNOWN for writes whose response is lost after the effect', async () => {
    await injectFault({mode: 'lose_write_answer', count: 3});
    const unknown = StoreErrorKind.UNKNOWN;
    expect(await runExpectingError(OPERATIONS.create)).toBe(unknown);
    const created = (await store.read(KEY))._unsafeUnwrap().extract();
    expect(created?.value).toBe(1);
    expect(await runExpectingError(OPERATIONS.update)).toBe(unknown);
    const updated = (await store.read(KEY))._unsafeUnwrap().extract();
    expect(updated?.value).toBe(2);
    const removed = await runExpectingError(() =>
      store.remove({...KEY, expectedVersion: 2}),
    );
    expect(removed).toBe(unknown);
    const afterRemoval = (await store.read(KEY))._unsafeUnwrap();
    expect(afterRemoval.isNothing()).toBe(true);
  });
});

interface RecordedWatch {
  readonly handle: WatchHandle;
  readonly events: WatchEvent[];
  readonly closed: StoreError[];
}

function startWatch(since: number): RecordedWatch {
  const events: WatchEvent[] = [];
  const closed: StoreError[] = [];
  const handle = store.watch({
    kind: KIND,
    since,
    onEvent: (event) => events.push(event),
    onClosed: (err) => closed.push(err),
  });
  return {handle, events, closed};
}

async function waitForLength<T>(
  list: readonly T[],
  length: number,
): Promise<void> {
  await vi.waitFor(() => expect(list).toHaveLength(length), 10_000);
}

describe('HttpObjectStore.watch', () => {
  it('reports past and new changes of its kind in order', async () => {
    await OPERATIONS.create();
    await OPERATIONS.update();
    const {handle, events} = startWatch(1);
    await waitForLength(events, 1);
    await store.create({kind: ObjectKind.LEASE, name: 'l', value: 0});
    await store.remove({...KEY, expectedVersion: 2});
    await waitForLength(events, 2);
    handle.close();
    expect(events.map(({version, value}) => [version, value])).toEqual([
      [2, 2],
      [4, undefined],
    ]);
  });

  it('decodes a character that arrives in two parts', async () => {
    const line = {kind: KIND, name: 'ż', version: 1, value: 'ż'};
    const bytes = Buffer.from(`${JSON.stringify(line)}\n`);
    const cut = bytes.indexOf('ż') + 1;
    const stubServer = await startStubServer((res) => {
      res.write(bytes.subarray(0, cut));
      setTimeout(() => res.write(bytes.subarray(cut)), PART_GAP_MS);
    });
    store = new HttpObjectStore({baseUrl: stubServer.url});
    const {handle, events} = startWatch(0);
    await waitForLength(events, 1);
    handle.close();
    await stubServer.close();
    expect(events).toEqual([line]);
  });

  it('calls no callback after close', async () => {
    const {handle, events, closed} = startWatch(0);
    await OPERATIONS.create();
    await waitForLength(events, 1);
    handle.close();
    await OPERATIONS.update();
    await injectFault({mode: 'down'});
    expect([events.length, closed.length]).toEqual([1, 0]);
  });

  it('closes once when the platform goes down', async () => {
    const {events, closed} = startWatch(0);
    await OPERATIONS.create();
    await waitForLength(events, 1);
    await injectFault({mode: 'down'});
    await waitForLength(closed, 1);
    expect(closed[0]?.kind).toBe(StoreErrorKind.UNAVAILABLE);
    const refused = startWatch(0);
    await waitForLength(refused.closed, 1);
    expect(refused.closed[0]?.kind).toBe(StoreErrorKind.UNAVAILABLE);
  });

  it('closes with NOT_FOUND when the version is too old', async () => {
    for (const name of ['a', 'b', 'c', 'd', 'e']) {
      await store.create({kind: KIND, name, value: name});
    }
    const old = startWatch(0);
    await waitForLength(old.closed, 1);
    expect(old.closed[0]?.kind).toBe(StoreErrorKind.NOT_FOUND);
    const recent = startWatch(1);
    await waitForLength(recent.events, 4);
    recent.handle.close();
  });
});
