/** Shares quarantined requests with the other entries through the store. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {
  SourceChange,
  SourceItem,
  StateSource,
} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {QuarantineRecord, Quarantine} from '../../core/poison/index.js';
import {
  dropOldest,
  isPromptPart,
  MAX_QUARANTINED,
} from '../../core/poison/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Follower, OutageGate} from '../../core/sync/index.js';
import {
  MAX_OWN_REPAIR_DELAY_MS,
  MAX_REPAIR_DELAY_MS,
  QUARANTINE_MS,
  POISON_LONG_POLL_MS,
  STORE_RETRY_MS,
} from '../consts.js';
import {createStoreFollower} from '../store-follower.js';

/**
 * Factor by which an entry that only read a record keeps it longer, so that the
 * entry that wrote the record removes it first.
 */
const REMOTE_EXPIRY_FACTOR = 2;

/** Dependencies of the synchronization. */
export interface QuarantineSyncOptions {
  readonly quarantine: Quarantine;
  readonly writer: StateWriter<QuarantineRecord>;
  readonly source: StateSource<QuarantineRecord>;
  readonly gate?: OutageGate;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Keeps this entry's quarantine and the records in the store in sync. The
 * entry that quarantined a request removes its record after the expiry time.
 *
 * @example
 * new QuarantineSync(options).start();
 */
export class QuarantineSync {
  private readonly follower: Follower<QuarantineRecord>;
  /** Fingerprints with a record in the store, as last read or written. */
  private readonly stored = new Set<string>();
  /** Fingerprints that this entry has quarantined itself. */
  private readonly own = new Set<string>();
  /** Fingerprints whose records were removed, oldest first. */
  private readonly lifted = new Set<string>();
  /** Those of them that a restored store has brought back. */
  private readonly revived = new Set<string>();
  private readonly timers = new Set<TimerHandle>();
  private isStopped = false;

  constructor(private readonly options: QuarantineSyncOptions) {
    this.follower = createStoreFollower({
      ...options,
      what: 'quarantine',
      waitMs: POISON_LONG_POLL_MS,
      onSnapshot: (items, {isRestored}) => {
        if (isRestored) this.repairStore(items);
        this.applySnapshot(items);
      },
      onChanges: (changes) => this.applyChanges(changes),
    });
  }

  start(): void {
    const {quarantine, supervisor} = this.options;
    const task = {name: TaskName.QUARANTINE};
    const onAdded = (fingerprint: string, record: QuarantineRecord) =>
      this.handleAdded(fingerprint, record);
    quarantine.subscribe(supervisor.guard(task, onAdded));
    this.follower.start();
  }

  private handleAdded(fingerprint: string, record: QuarantineRecord): void {
    const isFromStore = this.stored.has(fingerprint);
    if (!isFromStore) this.keepRunning(() => this.store(fingerprint, record));
    this.options.logger.warn('request quarantined after target losses', {
      fingerprint,
      isPromptPart: isPromptPart(fingerprint),
      clientAccount: record.clientAccount,
      engines: record.crashes.join(','),
      isHeard: isFromStore,
    });
  }

  /** Runs work that is repeated after an exception, until the process stops. */
  private keepRunning(work: () => Promise<void>): void {
    const task = {name: TaskName.QUARANTINE};
    this.options.supervisor.keepRunning(task, async () => {
      if (!this.isStopped) await work();
    });
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
    for (const timer of this.timers) timer.cancel();
  }

  /**
   * Releases a request that another entry has served completely. The entry that
   * quarantined it removes the record, so that one of many does.
   */
  release(fingerprint: string): void {
    const {quarantine, logger} = this.options;
    if (!quarantine.has(fingerprint)) return;
    logger.warn('quarantine lifted, as the request was served', {fingerprint});
    quarantine.remove(fingerprint);
    this.recordLifted(fingerprint);
    // A record that is not written yet is removed once it is.
    if (this.own.delete(fingerprint))
      this.keepRunning(() => this.removeRecord(fingerprint));
  }

  /**
   * Writes records again that a restored store lacks, and removes those again that
   * it has brought back. One of the entries that know of them is enough, so the
   * others wait whether they see it.
   */
  private repairStore(
    items: ReadonlyArray<SourceItem<QuarantineRecord>>,
  ): void {
    const present = new Set(items.map(({name}) => name));
    for (const name of [...this.stored]) {
      if (present.has(name)) continue;
      this.stored.delete(name);
      this.keepRunning(() => this.writeAgain(name));
    }
    for (const name of present) {
      if (!this.lifted.has(name)) continue;
      this.revived.add(name);
      this.keepRunning(() => this.removeAgain(name));
    }
  }

  private async writeAgain(fingerprint: string): Promise<void> {
    const {quarantine, writer} = this.options;
    await this.sleep(this.repairDelayMs(this.own.has(fingerprint)));
    const record = quarantine.recordOf(fingerprint);
    if (record === undefined || this.stored.has(fingerprint)) return;
    await this.retryUntilWritten(() =>
      writer.createIfAbsent(fingerprint, record),
    );
    this.stored.add(fingerprint);
  }

  private async removeAgain(fingerprint: string): Promise<void> {
    await this.sleep(this.repairDelayMs(false));
    if (this.stored.has(fingerprint)) await this.removeRecord(fingerprint);
  }

  private repairDelayMs(isOwn: boolean): number {
    const maxMs = isOwn ? MAX_OWN_REPAIR_DELAY_MS : MAX_REPAIR_DELAY_MS;
    return maxMs * this.options.random.float();
  }

  private applySnapshot(
    items: ReadonlyArray<SourceItem<QuarantineRecord>>,
  ): void {
    const present = new Set(items.map(({name}) => name));
    for (const name of [...this.stored]) {
      if (!present.has(name)) this.removeStored(name);
    }
    for (const {name, value} of items) this.addStored(name, value);
  }

  private applyChanges(
    changes: ReadonlyArray<SourceChange<QuarantineRecord>>,
  ): void {
    for (const {name, value, isDeleted} of changes) {
      if (isDeleted) this.removeStored(name);
      else this.addStored(name, value);
    }
  }

  private addStored(
    fingerprint: string,
    record: QuarantineRecord | undefined,
  ): void {
    if (record === undefined || this.stored.has(fingerprint)) return;
    this.stored.add(fingerprint);
    if (this.revived.has(fingerprint)) return;
    this.options.quarantine.add({fingerprint, record});
    // The entry that wrote the record may have stopped before the expiry.
    const expiryMs = QUARANTINE_MS * REMOTE_EXPIRY_FACTOR;
    this.keepRunning(() => this.removeAfter(fingerprint, expiryMs));
  }

  private removeStored(fingerprint: string): void {
    this.stored.delete(fingerprint);
    this.revived.delete(fingerprint);
    this.recordLifted(fingerprint);
    this.options.quarantine.remove(fingerprint);
  }

  private recordLifted(fingerprint: string): void {
    this.lifted.add(fingerprint);
    dropOldest({entries: this.lifted, maxSize: MAX_QUARANTINED});
  }

  private async store(
    fingerprint: string,
    record: QuarantineRecord,
  ): Promise<void> {
    const {quarantine, writer} = this.options;
    this.own.add(fingerprint);
    this.lifted.delete(fingerprint);
    await this.retryUntilWritten(() =>
      writer.createIfAbsent(fingerprint, record),
    );
    if (!quarantine.has(fingerprint)) {
      await this.removeRecord(fingerprint);
      return;
    }
    this.stored.add(fingerprint);
    await this.removeAfter(fingerprint, QUARANTINE_MS);
    this.own.delete(fingerprint);
  }

  /** Removes a record after a delay; its deletion releases the request. */
  private async removeAfter(
    fingerprint: string,
    delayMs: number,
  ): Promise<void> {
    await this.sleep(delayMs);
    if (!this.stored.has(fingerprint)) return;
    await this.removeRecord(fingerprint);
  }

  private removeRecord(fingerprint: string): Promise<void> {
    return this.retryUntilWritten(() =>
      this.options.writer.remove(fingerprint),
    );
  }

  /** Retries a write until it succeeds or the process stops. */
  private async retryUntilWritten(
    write: () => ReturnType<StateWriter<QuarantineRecord>['remove']>,
  ): Promise<void> {
    const {logger} = this.options;
    while (!this.isStopped) {
      const written = await write();
      if (written.isOk()) return;
      const {kind, detail} = written.error;
      logger.warn('quarantine change not written to store, will retry', {
        kind,
        detail,
      });
      await this.sleep(STORE_RETRY_MS);
    }
  }

  /** Never resolves if the process stops first, as the timer is cancelled. */
  private sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.options.clock.schedule({
        delayMs,
        run: () => {
          this.timers.delete(timer);
          resolve();
        },
      });
      this.timers.add(timer);
    });
  }
}
