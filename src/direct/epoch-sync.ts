/** Shares through the store what the entries know of its epoch. */
import type {Clock, RandomSource} from '../core/clock/index.js';
import {sleep} from '../core/clock/index.js';
import type {StateSource} from '../core/edges/state-source.js';
import type {StateWriter} from '../core/edges/state-writer.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {ConfirmationFilter, EpochRecord} from '../core/sync/index.js';
import {mergeEpochRecord} from '../core/sync/index.js';
import {
  MAX_OWN_REPAIR_DELAY_MS,
  MAX_SETTLED_DELAY_MS,
  STORE_RETRY_MS,
} from './consts.js';

/** Name of the only record. */
const RECORD_NAME = 'current';

const TASK = {name: TaskName.CONFIG};

/** Dependencies of the sync. */
export interface EpochSyncOptions {
  readonly epochSource: StateSource<EpochRecord>;
  readonly epochWriter: StateWriter<EpochRecord>;
  readonly filter: ConfirmationFilter;
  /** Newest version of the configuration that this entry knows. */
  readonly knownVersion: () => number;
  /** Called once no more can be learned of the epoch. */
  readonly onAsked: () => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/** The begin of an epoch, as this entry has seen it. */
interface SeenEpoch {
  /** Undefined if the store names none. */
  readonly epoch?: number;
  /** Whether the others know, or are being told, that it has settled. */
  isSettledTold: boolean;
}

/**
 * Finds out whether a store that was restored has settled. Entries that knew the
 * store before tell the others which configuration it lacks, and the first that
 * has waited spares the wait to entries that start later.
 *
 * @example
 * const sync = new EpochSync(options);
 * sync.begin(2);
 */
export class EpochSync {
  private seen?: SeenEpoch;

  constructor(private readonly options: EpochSyncOptions) {}

  /** Asks about an epoch that the filter waits for; ends earlier questions. */
  begin(epoch: number | undefined): void {
    const seen = {epoch, isSettledTold: epoch === undefined};
    this.seen = seen;
    this.options.supervisor.keepRunning(TASK, () => this.ask(seen));
  }

  /** Tells the others that a configuration of the epoch is confirmed. */
  recordConfirmed(): void {
    const {seen} = this;
    if (seen === undefined || seen.isSettledTold) return;
    seen.isSettledTold = true;
    const onFailure = () => (seen.isSettledTold = false);
    this.options.supervisor.run({...TASK, onFailure}, async () => {
      await this.pauseUpTo(MAX_SETTLED_DELAY_MS);
      if (!this.isCurrent(seen)) return;
      seen.isSettledTold = await this.tell(seen, true);
    });
  }

  stop(): void {
    this.seen = undefined;
  }

  private async ask(seen: SeenEpoch): Promise<void> {
    const {clock, filter, knownVersion, logger, onAsked} = this.options;
    await this.learn(seen);
    const {epoch} = seen;
    if (this.isCurrent(seen) && filter.isWaiting)
      logger.info('waiting until the restored store has settled', {
        epoch,
        waitMs: Math.round(filter.waitMs),
      });
    if (filter.lacks(knownVersion())) await this.tellMissing(seen);
    while (this.isCurrent(seen) && filter.isWaiting && filter.waitMs > 0)
      await sleep(clock, filter.waitMs);
    // What the others know and had time to tell is told by now.
    if (this.isCurrent(seen) && filter.isWaiting) await this.learn(seen);
    if (!this.isCurrent(seen)) return;
    filter.recordAsked();
    onAsked();
  }

  /** Learns what the others have told; ends once the store has answered. */
  private async learn(seen: SeenEpoch): Promise<void> {
    const {clock, epochSource, filter} = this.options;
    while (this.isCurrent(seen) && seen.epoch !== undefined) {
      const snapshot = await epochSource.list();
      if (snapshot.isOk()) {
        const record = recordOf(snapshot.value.items);
        if (record?.epoch !== seen.epoch || !this.isCurrent(seen)) return;
        seen.isSettledTold ||= record.isSettled;
        filter.recordTold(record);
        return;
      }
      await sleep(clock, STORE_RETRY_MS);
    }
  }

  private async tellMissing(seen: SeenEpoch): Promise<void> {
    await this.pauseUpTo(MAX_OWN_REPAIR_DELAY_MS);
    while (this.isCurrent(seen) && !(await this.tell(seen, false)))
      await sleep(this.options.clock, STORE_RETRY_MS);
  }

  /**
   * Adds to the record what this entry knows. Returns whether a read has shown
   * that it tells as much: what was just written may have been replaced.
   */
  private async tell({epoch}: SeenEpoch, isSettled: boolean): Promise<boolean> {
    const {epochSource, epochWriter, knownVersion} = this.options;
    if (epoch === undefined) return true;
    const snapshot = await epochSource.list();
    if (snapshot.isErr()) return false;
    const own = {epoch, version: knownVersion(), isSettled};
    const merged = mergeEpochRecord(recordOf(snapshot.value.items), own);
    if (merged === undefined || snapshot.value.epoch !== epoch) return true;
    await epochWriter.upsert(RECORD_NAME, merged);
    return false;
  }

  private pauseUpTo(limitMs: number): Promise<void> {
    const {clock, random} = this.options;
    return sleep(clock, limitMs * random.float());
  }

  private isCurrent(seen: SeenEpoch): boolean {
    return this.seen === seen;
  }
}

function recordOf(
  items: ReadonlyArray<{readonly value?: EpochRecord}>,
): EpochRecord | undefined {
  return items.find(({value}) => value !== undefined)?.value;
}
