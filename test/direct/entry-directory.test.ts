/** Records by which entries find each other. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {SourceChange} from '../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../src/core/edges/state-source.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {EntryRecord} from '../../src/core/relay/index.js';
import {EntryDirectory} from '../../src/direct/relay/entry-directory.js';
import {silentSupervisor} from '../support/supervisor.js';

const SEED = 20261204;

/** Longer than a write is retried and the entries are listed, in milliseconds. */
const SETTLED_MS = 4_000;
const STEP_MS = 100;

const recordOf = (vm: string, port = 7_200): EntryRecord => ({
  vm,
  dataCentre: 'a',
  address: `10.0.0.1:${port}`,
});
const OWN = recordOf('edge-1');

describe('EntryDirectory', () => {
  let clock: ManualClock;
  let stored: EntryRecord[];
  let writes: string[];
  let failingWrites: number;
  let known: string[];
  let tell: (changes: Array<SourceChange<EntryRecord>>) => void;

  beforeEach(() => {
    clock = new ManualClock();
    stored = [];
    writes = [];
    failingWrites = 0;
    known = [];
  });

  const write = (call: string) => {
    writes.push(call);
    if (failingWrites-- <= 0) return okAsync(undefined);
    return errAsync({kind: SourceErrorKind.UNAVAILABLE, detail: 'status 503'});
  };

  const create = () =>
    new EntryDirectory({
      writer: {
        createIfAbsent: (name) => write(`create ${name}`),
        upsert: (name) => write(`update ${name}`),
        remove: (name) => write(`remove ${name}`),
      },
      source: {
        list: () =>
          okAsync({
            items: stored.map((value) => ({name: value.vm, value})),
            revision: 1,
          }),
        waitForChanges: () =>
          ResultAsync.fromSafePromise(
            new Promise<Array<SourceChange<EntryRecord>>>(
              (resolve) => (tell = resolve),
            ).then((changes) => ({changes, revision: 2})),
          ),
      },
      clock,
      supervisor: silentSupervisor(clock),
      random: new SeededRandom(SEED),
      logger: SILENT_LOGGER,
      onEntries: (entries) => (known = entries.map(({vm}) => vm)),
    });

  /** Starts a directory of an entry that listens from the start. */
  const start = () => {
    const directory = create();
    directory.start();
    directory.announce(OWN);
    return directory;
  };

  const settle = async () => {
    for (let ms = 0; ms < SETTLED_MS; ms += STEP_MS) {
      clock.advance(STEP_MS);
      for (let i = 0; i < 20; i++) await Promise.resolve();
    }
  };

  it('registers this entry once, and tells the others', async () => {
    stored = [OWN, recordOf('edge-2')];
    start();
    await settle();
    expect(writes).toEqual(['create edge-1']);
    expect(known).toEqual(['edge-1', 'edge-2']);
  });

  it('follows the others before it listens, and then corrects its record', async () => {
    stored = [recordOf('edge-1', 7_999), recordOf('edge-2')];
    const directory = create();
    directory.start();
    await settle();
    expect(known).toEqual(['edge-1', 'edge-2']);
    expect(writes).toEqual([]);
    directory.announce(OWN);
    await settle();
    expect(writes).toEqual(['create edge-1', 'update edge-1']);
  });

  it('registers again after the store has failed', async () => {
    failingWrites = 1;
    start();
    await settle();
    expect(writes).toEqual(['create edge-1', 'create edge-1']);
  });

  it.each([{failures: 0}, {failures: 1}])(
    'corrects what an earlier process left, after $failures failed writes',
    async ({failures}) => {
      stored = [recordOf('edge-1', 7_999)];
      start();
      for (let i = 0; i < 20; i++) await Promise.resolve();
      failingWrites = failures;
      await settle();
      const updates = writes.filter((call) => call === 'update edge-1');
      expect(updates).toHaveLength(failures + 1);
    },
  );

  it('registers again after a late removal by an earlier process', async () => {
    stored = [OWN];
    start();
    await settle();
    tell([{name: 'edge-1', isDeleted: true}]);
    await settle();
    expect(writes).toEqual(['create edge-1', 'create edge-1']);
  });

  it('removes itself at a planned stop, and does not come back', async () => {
    stored = [OWN];
    const directory = start();
    await settle();
    await directory.leave();
    tell([{name: 'edge-1', isDeleted: true}]);
    await settle();
    expect(writes).toEqual(['create edge-1', 'remove edge-1']);
  });

  it('ignores a record under the name of another VM', async () => {
    stored = [OWN];
    start();
    await settle();
    tell([{name: 'edge-2', value: recordOf('edge-3'), isDeleted: false}]);
    await settle();
    expect(known).toEqual(['edge-1']);
  });
});
