/** Losses that an entry writes to the store, and those that it reads. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {
  Snapshot,
  SourceItem,
  StateSource,
} from '../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../src/core/edges/state-source.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {RecordedLosses} from '../../src/core/poison/index.js';
import {LossLedger} from '../../src/core/poison/index.js';
import {LossSync} from '../../src/direct/poison/loss-sync.js';
import {silentSupervisor} from '../support/supervisor.js';

const VM = 'entry-1';
const OTHER_VM = 'entry-2';
const REQUEST = 'a request';
const INCARNATION = 'i-1@1000';

/** Limit of a flush, in milliseconds. */
const FLUSH_LIMIT_MS = 300;

const recordedLossesOf = (...incarnations: string[]): RecordedLosses => ({
  losses: incarnations.map((incarnation) => ({
    request: REQUEST,
    life: incarnation,
    isSettled: true,
  })),
  harmless: [],
});

/** A store whose pending lists resolve when `respond` is called. */
class ManualSource implements StateSource<RecordedLosses> {
  private pendingLists: Array<
    (items: Array<SourceItem<RecordedLosses>>) => void
  > = [];

  list() {
    const items = new Promise<Array<SourceItem<RecordedLosses>>>((resolve) => {
      this.pendingLists.push(resolve);
    });
    return ResultAsync.fromSafePromise(
      items.then((all): Snapshot<RecordedLosses> => ({
        items: all,
        revision: 1,
      })),
    );
  }

  waitForChanges() {
    const kind = SourceErrorKind.HISTORY_LOST;
    return errAsync({kind, detail: 'status 410'});
  }

  get pendingCount(): number {
    return this.pendingLists.length;
  }

  async respond(items: Record<string, RecordedLosses>): Promise<void> {
    const all = Object.entries(items).map(([name, value]) => ({name, value}));
    for (const resolve of this.pendingLists.splice(0)) resolve(all);
    await flushMicrotasks();
  }
}

async function flushMicrotasks(): Promise<void> {
  for (let i = 0; i < 30; i++) await Promise.resolve();
}

describe('LossSync', () => {
  let clock: ManualClock;
  let ledger: LossLedger;
  let source: ManualSource;
  let written: RecordedLosses[];
  let sync: LossSync;

  beforeEach(async () => {
    clock = new ManualClock();
    ledger = new LossLedger({clock});
    source = new ManualSource();
    written = [];
    sync = new LossSync({
      vm: VM,
      ledger,
      source,
      clock,
      supervisor: silentSupervisor(clock),
      random: new SeededRandom(1),
      logger: SILENT_LOGGER,
      onRead: () => undefined,
      writer: {
        createIfAbsent: () => okAsync(undefined),
        remove: () => okAsync(undefined),
        upsert: (_name, value) => {
          written.push(value);
          return okAsync(undefined);
        },
      },
    });
    sync.start();
    await flushMicrotasks();
  });

  const recordLoss = (incarnation: string) => {
    ledger.recordLoss({suspect: REQUEST, incarnation});
    ledger.confirm({suspect: REQUEST, incarnation});
    sync.publish();
  };

  const advance = async () => {
    clock.advance(1_000);
    await flushMicrotasks();
  };

  it('keeps the losses of an earlier incarnation of the entry', async () => {
    recordLoss('i-2@1000');
    await advance();
    await source.respond({[VM]: recordedLossesOf(INCARNATION)});
    await advance();
    const incarnations = written.map(({losses}) =>
      losses.map(({life: incarnation}) => incarnation).sort(),
    );
    expect(incarnations).toEqual([[INCARNATION, 'i-2@1000']]);
  });

  it('forgets the losses of entries whose objects were removed', async () => {
    await source.respond({[OTHER_VM]: recordedLossesOf(INCARNATION)});
    expect(ledger.incarnationsOf(REQUEST).size).toBe(1);
    sync.refresh();
    await advance();
    await source.respond({});
    expect(ledger.incarnationsOf(REQUEST).size).toBe(0);
  });

  it('reads the others only after its own losses are written', async () => {
    await source.respond({});
    recordLoss(INCARNATION);
    await advance();
    expect(written).toHaveLength(1);
    expect(source.pendingCount).toBe(1);
  });

  it('reads nothing while this entry has lost no target', async () => {
    await source.respond({[OTHER_VM]: recordedLossesOf(INCARNATION)});
    for (let i = 0; i < 10; i++) await advance();
    expect(source.pendingCount).toBe(0);
  });

  it('flushes once the losses are written and the others are read', async () => {
    await source.respond({});
    ledger.recordLoss({suspect: REQUEST, incarnation: INCARNATION});
    let isFlushed = false;
    void sync.flush(FLUSH_LIMIT_MS).then(() => (isFlushed = true));
    clock.advance(0);
    await flushMicrotasks();
    expect({isFlushed, writes: written.length}).toEqual({
      isFlushed: false,
      writes: 1,
    });
    await source.respond({[OTHER_VM]: recordedLossesOf('i-2@1000')});
    expect(isFlushed).toBe(true);
    expect(ledger.incarnationsOf(REQUEST).size).toBe(2);
  });

  it('writes nothing without losses', async () => {
    await source.respond({});
    sync.publish();
    await advance();
    expect(written).toEqual([]);
  });
});
