/** Shares quarantined requests with all entries through the object store. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {
  ObjectStore,
  StoredObject,
  WatchHandle,
} from '../../core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../../core/edges/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {QuarantineRecord, Quarantine} from '../../core/poison/index.js';
import {QUARANTINE_RECORD} from '../../core/poison/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {QUARANTINE_RETRY_MS} from './consts.js';

const KIND = ObjectKind.QUARANTINE;

/** Keeps this entry's quarantine and the store in sync. */
export class QuarantineSync {
  private handle: WatchHandle | undefined;
  private isClosed = false;
  private readonly timers = new Set<TimerHandle>();
  /** Fingerprints that the store is known to hold. */
  private readonly stored = new Set<string>();

  constructor(
    private readonly options: {
      quarantine: Quarantine;
      store: ObjectStore;
      clock: Clock;
      logger: Logger;
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    const {quarantine, logger} = this.options;
    quarantine.subscribe((fingerprint, record) => {
      if (!this.stored.has(fingerprint)) this.upload(fingerprint, record);
      this.run(() =>
        logger.info('request quarantined: it crashed engines', {fingerprint}),
      );
    });
    this.load();
  }

  close(): void {
    this.isClosed = true;
    this.handle?.close();
    for (const timer of this.timers) timer.cancel();
  }

  private load(): void {
    if (this.isClosed) return;
    const retry = () => this.scheduleRetry(() => this.load());
    this.run(async () => {
      const listed = await this.options.store.list({kind: KIND});
      if (listed.isOk()) this.applyList(listed.value);
      else retry();
    }, retry);
  }

  private applyList(objects: readonly StoredObject[]): void {
    for (const {name, value} of objects)
      this.run(() => this.applyObject(name, value));
    const since = Math.max(0, ...objects.map((object) => object.version));
    if (this.isClosed) return;
    this.handle = this.options.store.watch({
      kind: KIND,
      since,
      onEvent: ({name, value}) => this.run(() => this.applyObject(name, value)),
      onClosed: () => this.scheduleRetry(() => this.load()),
    });
  }

  private applyObject(fingerprint: string, value: unknown): void {
    if (value === undefined) {
      this.stored.delete(fingerprint);
      this.options.quarantine.remove(fingerprint);
      return;
    }
    this.stored.add(fingerprint);
    QUARANTINE_RECORD.decode(value).ifRight((record) =>
      this.options.quarantine.add({fingerprint, record}),
    );
  }

  /**
   * Writes a record, with retries until the store has it. EXISTS means that it
   * was written before, perhaps by a write whose response was lost.
   */
  private upload(name: string, record: QuarantineRecord): void {
    if (this.isClosed) return;
    const {store} = this.options;
    const retry = () => this.scheduleRetry(() => this.upload(name, record));
    this.run(async () => {
      const created = await store.create({kind: KIND, name, value: record});
      if (created.isOk()) this.stored.add(name);
      else if (created.error.kind !== StoreErrorKind.EXISTS) retry();
    }, retry);
  }

  private run(work: () => unknown, onFailure?: () => void): void {
    const {supervisor} = this.options;
    supervisor.run({name: TaskName.QUARANTINE, onFailure}, work);
  }

  private scheduleRetry(run: () => void): void {
    if (this.isClosed) return;
    const timer = this.options.clock.schedule({
      delayMs: QUARANTINE_RETRY_MS,
      run: () => {
        this.timers.delete(timer);
        run();
      },
    });
    this.timers.add(timer);
  }
}
