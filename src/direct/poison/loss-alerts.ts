/** Alerts all entries to requests that may crash their targets. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {
  SourceError,
  SourceItem,
  StateSource,
} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {
  LossLedger,
  RecordedLosses,
  ServedRequests,
} from '../../core/poison/index.js';
import {dropOldest} from '../../core/poison/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Follower, OutageGate} from '../../core/sync/index.js';
import {
  ALERT_RETENTION_MS,
  MAX_REFUTE_DELAY_MS,
  MAX_REPAIR_DELAY_MS,
  POISON_LONG_POLL_MS,
} from '../consts.js';
import {createStoreFollower} from '../store-follower.js';

/**
 * Factor by which an entry that only read an alert keeps it longer, so that the
 * entry that raised the alert removes it first.
 */
const REMOTE_RETENTION_FACTOR = 2;

/** Most alerts whose time is kept; the oldest are dropped. */
const MAX_ALERTS = 1_024;

/** Dependencies of the alerts. */
export interface LossAlertsOptions {
  readonly ledger: LossLedger;
  readonly served: ServedRequests;
  readonly writer: StateWriter<RecordedLosses>;
  readonly source: StateSource<RecordedLosses>;
  readonly gate?: OutageGate;
  /** Called when an entry has told that it served a request completely. */
  readonly onRefuted: (request: string) => void;
  /** Called when the store was restored from a copy. */
  readonly onRestored: () => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Watches one object for each request that may be poison, with its losses over
 * all entries. Entries that hold no losses of the request thus hold it back too,
 * and an entry that has served it refutes the alert.
 *
 * @example
 * const alerts = new LossAlerts(options);
 * alerts.start();
 * await alerts.raise(request);
 */
export class LossAlerts {
  private readonly follower: Follower<RecordedLosses>;
  /** When each request's first alert was known, on the monotonic clock. */
  private readonly firstKnownMs = new Map<string, number>();
  /** Removals of expired alerts, by request. */
  private readonly removals = new Map<string, TimerHandle>();
  /** Alerts that a restored store lacks, until one entry has written them. */
  private readonly unwritten = new Set<string>();
  private isStopped = false;

  constructor(private readonly options: LossAlertsOptions) {
    this.follower = createStoreFollower({
      ...options,
      what: 'loss alerts',
      waitMs: POISON_LONG_POLL_MS,
      onSnapshot: (items, {isRestored}) => {
        if (isRestored) this.repairStore(items);
        else this.removeMissing(items);
        for (const item of items) this.applyItem(item);
      },
      onChanges: (changes) =>
        changes.forEach((change) => this.applyItem(change)),
    });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
    for (const timer of this.removals.values()) timer.cancel();
  }

  /**
   * Writes what is known of a request's losses, unless an alert tells it
   * already. Returns when the first alert of the request was known, on the
   * monotonic clock; undefined if there is none.
   */
  async raise(request: string): Promise<number | undefined> {
    const {ledger, writer, logger} = this.options;
    if (ledger.hasUnalerted(request)) {
      const value = ledger.toAlert(request);
      const written = await writer.upsert(request, value);
      if (written.isErr()) {
        this.logFailure(request, written.error);
      } else {
        const losses = value.losses.length;
        logger.info('loss alert raised', {fingerprint: request, losses});
        ledger.alerts.add(request, value);
        this.recordKnown(request);
        this.removeAfter(request, ALERT_RETENTION_MS);
      }
    }
    return this.firstKnownMs.get(request);
  }

  /** Tells the other entries that a request was served, unless one has. */
  async refute(request: string): Promise<void> {
    const {ledger, writer, clock, random, logger} = this.options;
    await sleep(clock, random.float() * MAX_REFUTE_DELAY_MS);
    if (this.isStopped || ledger.alerts.isRefuted(request)) return;
    logger.info('loss alert refuted', {fingerprint: request});
    const written = await writer.upsert(request, {
      losses: [],
      harmless: [request],
    });
    if (written.isErr()) this.logFailure(request, written.error);
  }

  private removeMissing(
    items: ReadonlyArray<SourceItem<RecordedLosses>>,
  ): void {
    for (const request of this.missingIn(items)) {
      if (!this.unwritten.has(request)) this.forget(request);
    }
  }

  /** Alerts that are known here and not in the store. */
  private missingIn(
    items: ReadonlyArray<SourceItem<RecordedLosses>>,
  ): string[] {
    const present = new Set(items.map(({name}) => name));
    const {suspects} = this.options.ledger.alerts;
    return suspects.filter((request) => !present.has(request));
  }

  /** Writes the alerts again that a restored store lacks. */
  private repairStore(items: ReadonlyArray<SourceItem<RecordedLosses>>): void {
    const {supervisor, onRestored} = this.options;
    onRestored();
    for (const request of this.missingIn(items)) {
      this.unwritten.add(request);
      const onFailure = () => this.unwritten.delete(request);
      supervisor.run({name: TaskName.ALERTS, onFailure}, () =>
        this.writeAgain(request),
      );
    }
  }

  /** One of the entries that know an alert is enough. */
  private async writeAgain(request: string): Promise<void> {
    const {ledger, writer, clock, random} = this.options;
    await sleep(clock, random.float() * MAX_REPAIR_DELAY_MS);
    if (this.isStopped || !this.unwritten.has(request)) return;
    const {losses} = ledger.toAlert(request);
    const harmless = ledger.alerts.isRefuted(request) ? [request] : [];
    const written = await writer.upsert(request, {losses, harmless});
    if (written.isErr()) this.logFailure(request, written.error);
    this.unwritten.delete(request);
  }

  private applyItem({name: request, value}: SourceItem<RecordedLosses>): void {
    const {ledger, served, supervisor} = this.options;
    this.unwritten.delete(request);
    if (value === undefined) {
      this.forget(request);
      return;
    }
    ledger.alerts.add(request, value);
    this.recordKnown(request);
    if (value.harmless.includes(request)) this.options.onRefuted(request);
    if (!this.removals.has(request))
      this.removeAfter(request, ALERT_RETENTION_MS * REMOTE_RETENTION_FACTOR);
    if (served.has(request))
      supervisor.run({name: TaskName.ALERTS}, () => this.refute(request));
  }

  /** Forgets an alert that is no longer in the store. */
  private forget(request: string): void {
    this.options.ledger.alerts.remove(request);
    this.firstKnownMs.delete(request);
    // Otherwise every entry would remove it once more, or a newer one.
    this.removals.get(request)?.cancel();
    this.removals.delete(request);
  }

  private recordKnown(request: string): void {
    if (this.firstKnownMs.has(request)) return;
    this.firstKnownMs.set(request, this.options.clock.now());
    dropOldest({entries: this.firstKnownMs, maxSize: MAX_ALERTS});
  }

  private logFailure(fingerprint: string, {kind, detail}: SourceError): void {
    this.options.logger.warn('loss alert not written to store', {
      fingerprint,
      kind,
      detail,
    });
  }

  private removeAfter(request: string, delayMs: number): void {
    this.removals.get(request)?.cancel();
    const {clock, supervisor} = this.options;
    const task = {name: TaskName.ALERTS};
    const run = supervisor.guard(task, () => this.remove(request));
    const timer = clock.schedule({delayMs, run});
    this.removals.set(request, timer);
  }

  private async remove(request: string): Promise<void> {
    this.removals.delete(request);
    const removed = await this.options.writer.remove(request);
    if (removed.isErr()) this.logFailure(request, removed.error);
  }
}
