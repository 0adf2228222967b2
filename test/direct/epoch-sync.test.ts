/** What entries write in the record of the store's epoch, and what they read. */
import {errAsync, okAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {StateSource} from '../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../src/core/edges/state-source.js';
import type {StateWriter} from '../../src/core/edges/state-writer.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {EpochRecord} from '../../src/core/sync/index.js';
import {ConfirmationFilter} from '../../src/core/sync/index.js';
import {EpochSync} from '../../src/direct/epoch-sync.js';
import {silentSupervisor} from '../support/supervisor.js';

const EPOCH = 2;
const OLD_VERSION = 7;
const NEW_VERSION = 9;

/** Longer than the waits and the retries of one question, in milliseconds. */
const LONG_MS = 10_000;

const STEP_MS = 50;

/** The record in the store, whose writes another entry may replace. */
class SharedRecord
  implements StateSource<EpochRecord>, StateWriter<EpochRecord>
{
  writes = 0;
  /** What other entries write just after a write, in order. */
  readonly replacements: EpochRecord[] = [];

  constructor(public record?: EpochRecord) {}

  list() {
    const {record: value} = this;
    const items = value === undefined ? [] : [{name: 'current', value}];
    return okAsync({items, revision: 1, epoch: EPOCH});
  }

  waitForChanges() {
    const kind = SourceErrorKind.HISTORY_LOST;
    return errAsync({kind, detail: 'status 410'});
  }

  createIfAbsent() {
    return okAsync(undefined);
  }

  upsert(_name: string, value: EpochRecord) {
    this.writes++;
    this.record = this.replacements.shift() ?? value;
    return okAsync(undefined);
  }

  remove() {
    return okAsync(undefined);
  }
}

describe('EpochSync', () => {
  let clock: ManualClock;
  let filter: ConfirmationFilter;
  let asked: number;

  beforeEach(() => {
    clock = new ManualClock();
    filter = new ConfirmationFilter({clock});
    filter.recordStored(OLD_VERSION);
    asked = 0;
  });

  async function play(ms: number): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += STEP_MS) {
      clock.advance(STEP_MS);
      for (let i = 0; i < 30; i++) await Promise.resolve();
    }
  }

  function start(shared: SharedRecord, knownVersion: number): EpochSync {
    const sync = new EpochSync({
      epochSource: shared,
      epochWriter: shared,
      filter,
      knownVersion: () => knownVersion,
      onAsked: () => asked++,
      clock,
      random: new SeededRandom(1),
      logger: SILENT_LOGGER,
      supervisor: silentSupervisor(clock),
    });
    filter.recordRestored();
    filter.recordStored(OLD_VERSION);
    sync.begin(EPOCH);
    return sync;
  }

  // Guards against a version that an entry knows and nobody is told of (CONFIG).
  it.each([
    {name: 'stands', replacements: []},
    {
      name: 'another entry replaces',
      replacements: [{epoch: EPOCH, version: 8, isSettled: false}],
    },
    {
      name: 'two others replace',
      replacements: [
        {epoch: EPOCH, version: 8, isSettled: false},
        {epoch: EPOCH - 1, version: 10, isSettled: true},
      ],
    },
  ])('tells the newer version, which $name', async ({replacements}) => {
    const shared = new SharedRecord();
    shared.replacements.push(...replacements);
    start(shared, NEW_VERSION);
    await play(LONG_MS);
    expect(shared.record?.epoch).toBe(EPOCH);
    expect(shared.record?.version).toBe(NEW_VERSION);
    expect(shared.writes).toBe(replacements.length + 1);
  });

  it.each([
    {name: 'no record', record: undefined, waits: true},
    {
      name: 'a record of an earlier epoch',
      record: {epoch: EPOCH - 1, version: OLD_VERSION, isSettled: true},
      waits: true,
    },
    {
      name: 'a record that has not settled',
      record: {epoch: EPOCH, version: NEW_VERSION, isSettled: false},
      waits: true,
    },
    {
      name: 'a record that has settled',
      record: {epoch: EPOCH, version: OLD_VERSION, isSettled: true},
      waits: false,
    },
  ])('with $name, waits: $waits', async ({record, waits}) => {
    start(new SharedRecord(record), OLD_VERSION);
    await play(STEP_MS);
    expect(filter.isWaiting).toBe(waits);
    expect(asked).toBe(waits ? 0 : 1);
    await play(LONG_MS);
    expect(filter.isWaiting).toBe(false);
    expect(asked).toBe(1);
  });

  it('tells that the store has settled until the record says so', async () => {
    const shared = new SharedRecord();
    shared.replacements.push({epoch: EPOCH, version: 8, isSettled: false});
    const sync = start(shared, OLD_VERSION);
    await play(LONG_MS);
    for (let i = 0; i < 3; i++) {
      sync.recordConfirmed();
      await play(LONG_MS);
    }
    expect(shared.record?.isSettled).toBe(true);
    expect(shared.writes).toBe(2);
  });
});
