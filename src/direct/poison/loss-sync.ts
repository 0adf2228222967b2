/** Shares target losses with the other entries through the store. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {
  SourceError,
  SourceItem,
  StateSource,
} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {LossLedger, RecordedLosses} from '../../core/poison/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {RESTORE_SETTLE_MS} from '../../core/sync/index.js';
import {LOSS_SYNC_INTERVAL_MS, STORE_RETRY_MS} from '../consts.js';
import {StoreOutageLog} from '../store-outage-log.js';

/** Dependencies of the synchronization. */
export interface LossSyncOptions {
  /** Name of this entry's VM, under which its losses are stored. */
  readonly vm: string;
  readonly ledger: LossLedger;
  readonly writer: StateWriter<RecordedLosses>;
  readonly source: StateSource<RecordedLosses>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  /** Called after the losses of all entries were read. */
  readonly onRead: () => void;
}

/**
 * Writes the losses recorded by this entry to one object in the store, and
 * reads the objects of all entries when this entry has lost a target. An entry
 * without losses makes no calls, however many the others have.
 *
 * The losses are written before the others are read. Of several entries that
 * lose targets to one request, the last to write thus reads the losses of all.
 *
 * @example
 * const sync = new LossSync(options);
 * sync.start();
 * sync.publish();
 */
export class LossSync {
  private readonly outageLog: StoreOutageLog;
  private timer?: TimerHandle;
  private waiters: Array<() => void> = [];
  private lastWritten = '';
  /** Until then, a restored store may lack what others have written. */
  private settledAtMs = Number.NEGATIVE_INFINITY;
  private lastWriteMs = Number.NEGATIVE_INFINITY;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private hasLoadedAll = false;
  private isSyncing = false;
  private isStopped = false;
  private mustWrite = false;
  private mustRead = false;

  constructor(private readonly options: LossSyncOptions) {
    const {clock, logger} = options;
    this.outageLog = new StoreOutageLog({what: 'losses', clock, logger});
  }

  /** Whether the recorded losses of all entries have been read once. */
  get hasLoaded(): boolean {
    return this.hasLoadedAll;
  }

  start(): void {
    const {supervisor} = this.options;
    supervisor.keepRunning({name: TaskName.LOSSES}, () => this.load());
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.resolve(this.waiters.splice(0));
  }

  /** Schedules a write of the current losses, then a read if they are new. */
  publish(): void {
    this.mustWrite = true;
    this.schedule();
  }

  /**
   * Writes this entry's losses again, as the store has come back from a copy, and
   * reads those of the others once they have done the same.
   */
  writeAgain(): void {
    const {clock, supervisor, ledger} = this.options;
    this.lastWritten = '';
    this.settledAtMs = clock.now() + RESTORE_SETTLE_MS;
    this.publish();
    clock.schedule({
      delayMs: RESTORE_SETTLE_MS,
      run: supervisor.guard({name: TaskName.LOSSES}, () => {
        if (!ledger.isEmpty) this.refresh();
      }),
    });
  }

  /** Schedules a read of the losses of all entries. */
  refresh(): void {
    this.mustRead = true;
    this.schedule();
  }

  /**
   * Waits until the current losses are stored and the losses of all entries
   * are read, for at most `limitMs`.
   */
  flush(limitMs: number): Promise<void> {
    if (this.isStopped || !this.hasLoadedAll) return Promise.resolve();
    return new Promise((resolve) => {
      const limit = this.options.clock.schedule({
        delayMs: limitMs,
        run: resolve,
      });
      this.waiters.push(() => {
        limit.cancel();
        resolve();
      });
      this.mustRead = true;
      this.publish();
    });
  }

  private async load(): Promise<void> {
    while (!this.isStopped && !(await this.read()))
      await sleep(this.options.clock, this.retryDelayMs());
    if (this.mustWrite || this.mustRead) this.schedule();
  }

  private schedule(): void {
    // A write before the first read would overwrite the losses that an earlier
    // incarnation of this entry stored.
    if (this.isStopped || !this.hasLoadedAll) return;
    if (this.isSyncing) return;
    // A write is not delayed by an earlier read, as other entries need it.
    const lastMs = this.mustWrite ? this.lastWriteMs : this.lastReadMs;
    const dueMs = lastMs + LOSS_SYNC_INTERVAL_MS - this.options.clock.now();
    this.scheduleIn(Math.max(0, dueMs));
  }

  private scheduleIn(delayMs: number): void {
    this.timer?.cancel();
    const {clock, supervisor} = this.options;
    const task = {name: TaskName.LOSSES};
    this.timer = clock.schedule({
      delayMs,
      run: () => {
        this.timer = undefined;
        supervisor.keepRunning(task, () => this.sync());
      },
    });
  }

  private async sync(): Promise<void> {
    const waiters = this.waiters.splice(0);
    this.isSyncing = true;
    const isSynced = await this.tryToSync(waiters);
    this.isSyncing = false;
    if (isSynced || this.isStopped) this.resolve(waiters);
    else this.waiters.unshift(...waiters);
    if (this.isStopped) return;
    if (!isSynced) this.scheduleIn(this.retryDelayMs());
    else if (this.mustWrite || this.mustRead) this.schedule();
  }

  /** After an exception all calls are due, and `waiters` go on waiting. */
  private async tryToSync(waiters: Array<() => void>): Promise<boolean> {
    if (this.isStopped) return false;
    try {
      return await this.writeThenRead();
    } catch (cause) {
      this.mustWrite = true;
      this.mustRead = true;
      this.waiters.unshift(...waiters);
      throw cause;
    }
  }

  /** Returns whether all calls that were due have succeeded. */
  private async writeThenRead(): Promise<boolean> {
    if (this.mustWrite && !(await this.write())) return false;
    return !this.mustRead || (await this.read());
  }

  private async write(): Promise<boolean> {
    const {vm, ledger, writer, clock, logger} = this.options;
    this.mustWrite = false;
    const value = ledger.toRecordedLosses();
    const text = JSON.stringify(value);
    if (text === this.lastWritten || this.hasNothingToWrite(value)) return true;
    this.lastWriteMs = clock.now();
    const written = await writer.upsert(vm, value);
    if (written.isErr()) {
      this.mustWrite = true;
      const {kind, detail} = written.error;
      logger.warn('target losses not written to store, will retry', {
        kind,
        detail,
      });
      return false;
    }
    this.lastWritten = text;
    if (value.losses.length > 0) this.mustRead = true;
    return true;
  }

  private async read(): Promise<boolean> {
    this.mustRead = false;
    this.lastReadMs = this.options.clock.now();
    const snapshot = await this.options.source.list();
    return snapshot.match(
      ({items}) => {
        this.outageLog.recordSuccess();
        this.applyItems(items);
        return true;
      },
      (err: SourceError) => {
        this.mustRead = true;
        this.outageLog.recordFailure(err);
        return false;
      },
    );
  }

  /** Whether nothing was ever written and there is nothing to write. */
  private hasNothingToWrite({losses, harmless}: RecordedLosses): boolean {
    return this.lastWritten === '' && losses.length + harmless.length === 0;
  }

  /** A random delay, as a returning store would else draw all entries at once. */
  private retryDelayMs(): number {
    return STORE_RETRY_MS * (0.5 + this.options.random.float());
  }

  private resolve(waiters: ReadonlyArray<() => void>): void {
    for (const resolve of waiters) resolve();
  }

  private applyItems(items: ReadonlyArray<SourceItem<RecordedLosses>>): void {
    const {vm, ledger, clock, onRead} = this.options;
    if (this.isStopped) return;
    const present = new Set(items.map(({name}) => name));
    const isSettled = clock.now() >= this.settledAtMs;
    for (const name of ledger.knownEntries) {
      if (isSettled && !present.has(name)) ledger.removeEntry(name);
    }
    for (const {name, value} of items) {
      if (name === vm) continue;
      if (value === undefined) ledger.removeEntry(name);
      else ledger.updateEntry(name, value);
    }
    if (!this.hasLoadedAll) {
      const own = items.find(({name}) => name === vm)?.value;
      if (own !== undefined) this.restoreOwn(own);
      this.hasLoadedAll = true;
    }
    onRead();
  }

  private restoreOwn(own: RecordedLosses): void {
    this.options.ledger.restore(own);
    this.lastWritten = JSON.stringify(own);
  }
}
