/** Shares requests that crash engines with all entries, over the store. */
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
import {QUARANTINE_RETRY_MS} from './consts.js';

const KIND = ObjectKind.QUARANTINE;

/** Keeps this entry's quarantine and the store's the same. */
export class QuarantineSync {
  private handle: WatchHandle | undefined;
  private closed = false;
  private readonly timers = new Set<TimerHandle>();
  /** Fingerprints that the store is known to hold. */
  private readonly stored = new Set<string>();

  constructor(
    private readonly options: {
      quarantine: Quarantine;
      store: ObjectStore;
      clock: Clock;
      logger: Logger;
    },
  ) {}

  open(): void {
    this.options.quarantine.subscribe((fingerprint, culprit) => {
      this.options.logger.info('request quarantined', {fingerprint});
      if (!this.stored.has(fingerprint)) this.share(fingerprint, culprit);
    });
    this.list();
  }

  close(): void {
    this.closed = true;
    this.handle?.close();
    for (const timer of this.timers) timer.cancel();
  }

  private list(): void {
    if (this.closed) return;
    void this.options.store.list({kind: KIND}).match(
      (objects) => this.take(objects),
      () => this.later(() => this.list()),
    );
  }

  private take(objects: readonly StoredObject[]): void {
    for (const {name, value} of objects) this.learn(name, value);
    const since = Math.max(0, ...objects.map((object) => object.version));
    if (this.closed) return;
    this.handle = this.options.store.watch({
      kind: KIND,
      since,
      onEvent: ({name, value}) => this.learn(name, value),
      onClosed: () => this.later(() => this.list()),
    });
  }

  private learn(fingerprint: string, value: unknown): void {
    if (value === undefined) {
      this.stored.delete(fingerprint);
      this.options.quarantine.remove(fingerprint);
      return;
    }
    this.stored.add(fingerprint);
    QUARANTINE_RECORD.decode(value).ifRight((culprit) =>
      this.options.quarantine.add({fingerprint, record: culprit}),
    );
  }

  /** Writes until the store holds it; a lost answer is written again. */
  private share(name: string, culprit: QuarantineRecord): void {
    if (this.closed) return;
    void this.options.store.create({kind: KIND, name, value: culprit}).match(
      () => void this.stored.add(name),
      (err) => {
        if (err.kind === StoreErrorKind.EXISTS) return;
        this.later(() => this.share(name, culprit));
      },
    );
  }

  private later(run: () => void): void {
    if (this.closed) return;
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
