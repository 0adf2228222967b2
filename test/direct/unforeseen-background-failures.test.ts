/** What an exception ends in work that belongs to no request: one round. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {ok, okAsync, ResultAsync} from 'neverthrow';
import {afterEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {StateSource} from '../../src/core/edges/state-source.js';
import type {StateWriter} from '../../src/core/edges/state-writer.js';
import type {PermitPeers} from '../../src/core/limits/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {
  LossLedger,
  Quarantine,
  ServedRequests,
} from '../../src/core/poison/index.js';
import type {DirectSettings} from '../../src/core/settings/direct-settings.js';
import type {Target} from '../../src/core/targets/index.js';
import {GracefulShutdown} from '../../src/direct/graceful-shutdown.js';
import {LimitKeeper} from '../../src/direct/limits/index.js';
import {LossAlerts} from '../../src/direct/poison/loss-alerts.js';
import {LossSync} from '../../src/direct/poison/loss-sync.js';
import {QuarantineSync} from '../../src/direct/poison/index.js';
import {EntryDirectory} from '../../src/direct/relay/entry-directory.js';
import {SettingsWatcher} from '../../src/direct/settings-watcher.js';
import {escapedExceptions} from '../support/escaped-exceptions.js';
import {silentSupervisor} from '../support/supervisor.js';

const SEED = 20261206;
const STEP_MS = 100;

const VM = 'entry-1';
const REQUEST = 'f1';
const INCARNATIONS = ['i-1@1', 'i-2@1', 'i-3@1'];
const FAILURE = new Error('unforeseen');

/** How a write of the store fails. */
enum Manner {
  THROWS = 'throws',
  REJECTS = 'rejects',
}

const MANNERS = Object.values(Manner).map((manner) => ({manner}));

/** A store of one kind whose next write fails in an unforeseen manner. */
class FaultyStore<T> implements StateWriter<T>, StateSource<T> {
  readonly objects = new Map<string, T>();
  /** Writes that have failed. */
  failed = 0;

  constructor(
    private readonly manner: Manner,
    private left = 1,
  ) {}

  createIfAbsent(name: string, value: T) {
    return this.write(() => this.objects.set(name, value));
  }

  upsert(name: string, value: T) {
    return this.write(() => this.objects.set(name, value));
  }

  remove(name: string) {
    return this.write(() => this.objects.delete(name));
  }

  list() {
    const items = [...this.objects].map(([name, value]) => ({name, value}));
    return okAsync({items, revision: 1});
  }

  waitForChanges() {
    return ResultAsync.fromSafePromise(new Promise<never>(() => undefined));
  }

  /** Makes further writes fail. */
  failNext(): void {
    this.left++;
  }

  private write(apply: () => unknown): ResultAsync<void, never> {
    if (this.left > 0) {
      this.left--;
      this.failed++;
      if (this.manner === Manner.THROWS) throw FAILURE;
      return new ResultAsync(Promise.reject(FAILURE));
    }
    apply();
    return okAsync(undefined);
  }
}

describe('an exception in the background', () => {
  const escaped = escapedExceptions();
  let clock = new ManualClock();
  let deps = create();

  function create() {
    clock = new ManualClock();
    return {
      clock,
      random: new SeededRandom(SEED),
      metrics: new Metrics(),
      logger: SILENT_LOGGER,
      supervisor: silentSupervisor(clock),
    };
  }

  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(STEP_MS);
      for (let i = 0; i < 20; i++) await Promise.resolve();
    }
    await new Promise((resolve) => setImmediate(resolve));
  };

  afterEach(() => {
    expect(escaped()).toEqual([]);
    deps = create();
  });

  const loseTargets = (ledger: LossLedger) => {
    for (const incarnation of INCARNATIONS) {
      ledger.recordLoss({suspect: REQUEST, incarnation});
      ledger.confirm({suspect: REQUEST, incarnation});
    }
  };

  it.each(MANNERS)(
    'at a write of losses, which $manner, is repeated',
    async ({manner}) => {
      const store = new FaultyStore<never>(manner);
      const ledger = new LossLedger({clock});
      const sync = new LossSync({
        ...deps,
        vm: VM,
        ledger,
        writer: store,
        source: store,
        onRead: () => undefined,
      });
      sync.start();
      await advance(STEP_MS);
      loseTargets(ledger);
      let isFlushed = false;
      void sync.flush(60_000).then(() => (isFlushed = true));
      await advance(3_000);
      expect(store.failed).toBe(1);
      expect([...store.objects.keys()]).toEqual([VM]);
      expect(isFlushed).toBe(true);
      sync.stop();
    },
  );

  it.each(MANNERS)(
    'at a write of a quarantine, which $manner, is repeated',
    async ({manner}) => {
      const store = new FaultyStore<never>(manner);
      const quarantine = new Quarantine();
      const sync = new QuarantineSync({
        ...deps,
        quarantine,
        writer: store,
        source: store,
      });
      sync.start();
      const record = {clientAccount: 'a', crashes: []};
      quarantine.add({fingerprint: REQUEST, record});
      await advance(2_000);
      expect([...store.objects.keys()]).toEqual([REQUEST]);
      store.failNext();
      sync.release(REQUEST);
      await advance(2_000);
      expect([...store.objects.keys()]).toEqual([]);
      expect(store.failed).toBe(2);
      sync.stop();
    },
  );

  it.each(MANNERS)(
    'at the removal of an alert, which $manner, leaves other alerts',
    async ({manner}) => {
      const store = new FaultyStore<never>(manner, 0);
      const ledger = new LossLedger({clock});
      const alerts = new LossAlerts({
        ...deps,
        ledger,
        served: new ServedRequests({clock}),
        writer: store,
        source: store,
        onRefuted: () => undefined,
        onRestored: () => undefined,
      });
      alerts.start();
      loseTargets(ledger);
      await alerts.raise(REQUEST);
      expect([...store.objects.keys()]).toEqual([REQUEST]);
      store.failNext();
      await advance(30 * 60_000);
      expect(store.failed).toBe(1);
      const refuted = alerts.refute('f2');
      await advance(5_000);
      await refuted;
      expect(store.objects.has('f2')).toBe(true);
      alerts.stop();
    },
  );

  it.each(MANNERS)(
    'at the registration of an entry, which $manner, is repeated',
    async ({manner}) => {
      const store = new FaultyStore<never>(manner);
      const directory = new EntryDirectory({
        ...deps,
        writer: store,
        source: store,
        onEntries: () => undefined,
      });
      directory.start();
      directory.announce({
        vm: VM,
        dataCentre: 'a',
        address: '127.0.0.1:7200',
      });
      await advance(2_000);
      expect(store.failed).toBe(1);
      expect([...store.objects.keys()]).toEqual([VM]);
      directory.stop();
    },
  );

  it.each(MANNERS)(
    'at a message about a limit, which $manner, ends with it',
    async ({manner}) => {
      const store = new FaultyStore<never>(manner);
      const ask = () => store.remove('').map(() => undefined);
      const peers = {
        hasGranter: true,
        entries: [],
        members: () => [],
        askPermit: async () => {
          await ask();
        },
        servePermits: () => undefined,
      } as unknown as PermitPeers;
      const keeper = new LimitKeeper({...deps, vm: VM, peers});
      const target = {record: {id: 'i-1', address: 'a'}, limit: {}};
      keeper.tell(target as unknown as Target);
      await advance(STEP_MS);
      expect(store.failed).toBe(1);
    },
  );

  it('at changed settings is repeated at the next check', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'plantainrill-settings-'));
    const path = join(folder, 'boot.yaml');
    writeFileSync(path, 'one');
    const applied: string[] = [];
    let left = 1;
    const watcher = new SettingsWatcher({
      ...deps,
      path,
      text: 'one',
      parse: (text) => ok({vm: text} as DirectSettings),
      onSettings: ({vm}) => {
        if (left-- > 0) throw FAILURE;
        applied.push(vm);
      },
    });
    watcher.start();
    writeFileSync(path, 'two');
    for (let i = 0; i < 3; i++) {
      clock.advance(1_000);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    watcher.stop();
    rmSync(folder, {recursive: true});
    expect(applied).toEqual(['two']);
  });

  const STEPS = ['answerOpen', 'closeIdle', 'closeListener', 'closeAll'];

  it.each(STEPS.map((step) => ({step})))(
    'at $step of a planned stop does not keep the process',
    ({step}) => {
      let stoppedMs: number | undefined;
      const run = (name: string) => {
        if (name === step) throw FAILURE;
      };
      new GracefulShutdown({
        ...deps,
        listener: {
          openRequests: 1,
          closeIdle: () => run('closeIdle'),
          closeListener: () => run('closeListener'),
          closeAll: () => run('closeAll'),
        },
        graceMs: 8_000,
        answerOpen: () => run('answerOpen'),
        onStopped: () => (stoppedMs = clock.now()),
      }).begin();
      for (let ms = 0; ms < 9_000; ms += 50) {
        try {
          clock.advance(50);
        } catch (cause) {
          escaped().push(cause);
        }
      }
      expect(stoppedMs).toBeLessThan(8_000);
    },
  );
});
