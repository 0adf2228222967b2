/** Alerts of requests that may be poison, over entries that share a store. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {
  SourceChange,
  StateSource,
} from '../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../src/core/edges/state-source.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {RecordedLosses} from '../../src/core/poison/index.js';
import {LossLedger, ServedRequests} from '../../src/core/poison/index.js';
import {LossAlerts} from '../../src/direct/poison/loss-alerts.js';
import {ALERT_RETENTION_MS} from '../../src/direct/consts.js';
import {silentSupervisor} from '../support/supervisor.js';

const SEED = 20261204;
const REQUEST = 'a request';
const INCARNATIONS = ['i-1@1000', 'i-2@1000', 'i-3@1000'];

/** Longer than refutations are delayed, in milliseconds. */
const AFTER_REFUTE_MS = 100;

async function flushMicrotasks(): Promise<void> {
  for (let i = 0; i < 50; i++) await Promise.resolve();
}

/** A store of alerts in memory, which tells its followers each change. */
class AlertStore {
  readonly writes: RecordedLosses[] = [];
  removals = 0;
  isAvailable = true;
  private readonly objects = new Map<string, RecordedLosses>();
  private waiting: Array<(changes: SourceChange<RecordedLosses>[]) => void> =
    [];

  get size(): number {
    return this.objects.size;
  }

  upsert(name: string, value: RecordedLosses) {
    if (!this.isAvailable) return errAsync(UNAVAILABLE);
    this.writes.push(value);
    this.objects.set(name, value);
    this.notify([{name, value, isDeleted: false}]);
    return okAsync(undefined);
  }

  remove(name: string) {
    this.removals++;
    this.objects.delete(name);
    this.notify([{name, isDeleted: true}]);
    return okAsync(undefined);
  }

  source(): StateSource<RecordedLosses> {
    return {
      list: () =>
        okAsync({
          items: [...this.objects].map(([name, value]) => ({name, value})),
          revision: 1,
        }),
      waitForChanges: () =>
        okAsync(undefined).andThen(() => this.nextChanges()),
    };
  }

  private nextChanges() {
    const changes = new Promise<SourceChange<RecordedLosses>[]>((resolve) =>
      this.waiting.push(resolve),
    );
    return ResultAsync.fromSafePromise(
      changes.then((all) => ({changes: all, revision: 1})),
    );
  }

  private notify(changes: SourceChange<RecordedLosses>[]): void {
    for (const resolve of this.waiting.splice(0)) resolve(changes);
  }
}

const UNAVAILABLE = {kind: SourceErrorKind.UNAVAILABLE, detail: 'status 503'};

describe('LossAlerts', () => {
  let clock: ManualClock;
  let store: AlertStore;
  let random: SeededRandom;

  beforeEach(() => {
    clock = new ManualClock();
    store = new AlertStore();
    random = new SeededRandom(SEED);
  });

  const startEntry = async () => {
    const ledger = new LossLedger({clock});
    const served = new ServedRequests({clock});
    const alerts = new LossAlerts({
      ledger,
      served,
      writer: {
        createIfAbsent: () => okAsync(undefined),
        remove: (name) => store.remove(name),
        upsert: (name, value) => store.upsert(name, value),
      },
      source: store.source(),
      onRefuted: () => undefined,
      onRestored: () => undefined,
      clock,
      supervisor: silentSupervisor(clock),
      random,
      logger: SILENT_LOGGER,
    });
    alerts.start();
    await flushMicrotasks();
    return {ledger, served, alerts};
  };

  const loseTargets = (ledger: LossLedger) => {
    for (const incarnation of INCARNATIONS) {
      ledger.recordLoss({suspect: REQUEST, incarnation});
      ledger.confirm({suspect: REQUEST, incarnation});
    }
  };

  it('tells entries that have lost no target', async () => {
    const [first, other] = [await startEntry(), await startEntry()];
    loseTargets(first.ledger);
    await first.alerts.raise(REQUEST);
    await flushMicrotasks();
    expect(other.ledger.isPoison(REQUEST)).toBe(true);
  });

  it('writes an alert once, however often entries raise it', async () => {
    const [first, other] = [await startEntry(), await startEntry()];
    loseTargets(first.ledger);
    loseTargets(other.ledger);
    for (const {alerts} of [first, other, first, other]) {
      await alerts.raise(REQUEST);
      await flushMicrotasks();
    }
    expect(store.writes).toHaveLength(1);
  });

  it('is refuted by one of many entries that have served the request', async () => {
    const first = await startEntry();
    const others = [];
    for (let i = 0; i < 20; i++) others.push(await startEntry());
    for (const {served} of others) served.add(REQUEST);
    loseTargets(first.ledger);
    await first.alerts.raise(REQUEST);
    for (let ms = 0; ms < AFTER_REFUTE_MS; ms++) {
      clock.advance(1);
      await flushMicrotasks();
    }
    expect(first.ledger.mayBePoison(REQUEST)).toBe(false);
    const refutations = store.writes.filter(({harmless}) => harmless.length);
    expect(refutations.length).toBeLessThan(5);
  });

  it('is raised again after the store was unavailable', async () => {
    const [first, other] = [await startEntry(), await startEntry()];
    loseTargets(first.ledger);
    store.isAvailable = false;
    expect(await first.alerts.raise(REQUEST)).toBeUndefined();
    store.isAvailable = true;
    expect(await first.alerts.raise(REQUEST)).toBe(clock.now());
    await flushMicrotasks();
    expect(other.ledger.isPoison(REQUEST)).toBe(true);
  });

  it('is removed from the store when it expires', async () => {
    const [first, other] = [await startEntry(), await startEntry()];
    loseTargets(first.ledger);
    await first.alerts.raise(REQUEST);
    await flushMicrotasks();
    clock.advance(ALERT_RETENTION_MS);
    await flushMicrotasks();
    expect(store.size).toBe(0);
    expect(other.ledger.alerts.has(REQUEST)).toBe(false);
    // The other entry does not remove it once more.
    clock.advance(ALERT_RETENTION_MS);
    await flushMicrotasks();
    expect(store.removals).toBe(1);
  });
});
