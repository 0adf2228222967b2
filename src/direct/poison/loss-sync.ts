/** Shares target losses with the other entries through the store. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {SourceItem, StateSource} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {LossLedger, RecordedLosses} from '../../core/poison/index.js';
import {Follower} from '../../core/sync/index.js';
import {
  LOSS_READ_INTERVAL_MS,
  LOSS_WRITE_INTERVAL_MS,
  POISON_LONG_POLL_MS,
  STORE_WRITE_RETRY_MS,
} from '../consts.js';
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
  /** Called with the requests for which another entry recorded losses. */
  readonly onReceived: (requests: readonly string[]) => void;
}

/**
 * Writes the losses recorded by this entry to one object in the store, and
 * reads the objects of other entries. An entry that restarts first restores
 * its own object.
 *
 * @example
 * const sync = new LossSync(options);
 * sync.start();
 * sync.publish();
 */
export class LossSync {
  private readonly follower: Follower<RecordedLosses>;
  private timer?: TimerHandle;
  private flushWaiters: Array<() => void> = [];
  private lastWritten = '';
  private lastWriteMs = Number.NEGATIVE_INFINITY;
  private hasLoadedAll = false;
  private isWriting = false;
  private isStopped = false;

  constructor(private readonly options: LossSyncOptions) {
    const {source, clock, random, logger} = options;
    const outageLog = new StoreOutageLog({what: 'losses', clock, logger});
    this.follower = new Follower({
      source,
      clock,
      random,
      waitMs: POISON_LONG_POLL_MS,
      minIntervalMs: LOSS_READ_INTERVAL_MS,
      listener: {
        onSnapshot: (items) => this.applySnapshot(items),
        onChanges: (changes) =>
          changes.forEach((change) => this.applyItem(change)),
        onConfirmed: () => outageLog.recordSuccess(),
        onError: (err) => outageLog.recordFailure(err),
      },
    });
  }

  /** Whether the recorded losses of all entries have been read once. */
  get hasLoaded(): boolean {
    return this.hasLoadedAll;
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
    this.timer?.cancel();
    this.resolveFlushes();
  }

  /** Schedules a write of the current losses. */
  publish(): void {
    // A write before the first read would overwrite the losses that an earlier
    // incarnation of this entry stored.
    if (this.isStopped || !this.hasLoadedAll) return;
    if (this.isWriting || this.timer !== undefined) return;
    const dueMs =
      this.lastWriteMs + LOSS_WRITE_INTERVAL_MS - this.options.clock.now();
    this.scheduleWrite(Math.max(0, dueMs));
  }

  /** Waits until the current losses are stored, for at most `limitMs`. */
  flush(limitMs: number): Promise<void> {
    this.publish();
    if (this.timer === undefined && !this.isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      const limit = this.options.clock.schedule({
        delayMs: limitMs,
        run: resolve,
      });
      this.flushWaiters.push(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  private scheduleWrite(delayMs: number): void {
    this.timer = this.options.clock.schedule({
      delayMs,
      run: () => {
        this.timer = undefined;
        void this.write();
      },
    });
  }

  private async write(): Promise<void> {
    const {vm, ledger, writer, clock, logger} = this.options;
    const value = ledger.toRecordedLosses();
    const text = JSON.stringify(value);
    if (text === this.lastWritten || this.hasNothingToWrite(value)) {
      this.resolveFlushes();
      return;
    }
    this.isWriting = true;
    this.lastWriteMs = clock.now();
    const written = await writer.upsert(vm, value);
    this.isWriting = false;
    if (this.isStopped) return;
    if (written.isErr()) {
      const {kind, detail} = written.error;
      logger.warn('target losses not written to store, will retry', {
        kind,
        detail,
      });
      this.scheduleWrite(STORE_WRITE_RETRY_MS);
      return;
    }
    this.lastWritten = text;
    const hasChanged = JSON.stringify(ledger.toRecordedLosses()) !== text;
    if (hasChanged) this.publish();
    else this.resolveFlushes();
  }

  /** Whether nothing was ever written and there is nothing to write. */
  private hasNothingToWrite({losses, harmless}: RecordedLosses): boolean {
    return this.lastWritten === '' && losses.length + harmless.length === 0;
  }

  private resolveFlushes(): void {
    for (const resolve of this.flushWaiters.splice(0)) resolve();
  }

  private applySnapshot(
    items: ReadonlyArray<SourceItem<RecordedLosses>>,
  ): void {
    const {vm, ledger} = this.options;
    const present = new Set(items.map(({name}) => name));
    for (const name of ledger.knownEntries) {
      if (!present.has(name)) ledger.removeEntry(name);
    }
    for (const item of items) this.applyItem(item);
    if (this.hasLoadedAll) return;
    this.hasLoadedAll = true;
    const own = items.find(({name}) => name === vm)?.value;
    if (own !== undefined) this.restoreOwn(own);
    this.publish();
  }

  private restoreOwn(own: RecordedLosses): void {
    this.options.ledger.restore(own);
    this.lastWritten = JSON.stringify(own);
  }

  private applyItem({name, value}: SourceItem<RecordedLosses>): void {
    const {vm, ledger, onReceived} = this.options;
    if (name === vm) return;
    if (value === undefined) {
      ledger.removeEntry(name);
      return;
    }
    ledger.updateEntry(name, value);
    onReceived(value.losses.map(({request}) => request));
  }
}
