/** Registers this entry in the store and follows the others. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {SourceItem, StateSource} from '../../core/edges/state-source.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {Logger} from '../../core/logs/index.js';
import type {EntryRecord} from '../../core/relay/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Follower} from '../../core/sync/index.js';
import {createStoreFollower} from '../store-follower.js';
import {
  ENTRIES_LONG_POLL_MS,
  ENTRIES_PAUSE_MS,
  FIRST_LIST_DELAY_MS,
  MAX_REMOVE_AGAIN_DELAY_MS,
  REGISTRATION_RETRY_MS,
} from './consts.js';

/** Dependencies of the directory. */
export interface EntryDirectoryOptions {
  readonly writer: StateWriter<EntryRecord>;
  readonly source: StateSource<EntryRecord>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly onEntries: (entries: readonly EntryRecord[]) => void;
}

/**
 * Knows the entries that answer others. Each registers an object under the name
 * of its VM once it listens, and removes it when it stops as planned. The object
 * of an entry that was killed stays; whoever asks that entry finds out.
 *
 * @example
 * const directory = new EntryDirectory(options);
 * directory.start();
 * directory.announce(own);
 */
export class EntryDirectory {
  private readonly entries = new Map<string, EntryRecord>();
  private readonly follower: Follower<EntryRecord>;
  /** Names of entries that were removed. */
  private readonly left = new Set<string>();
  private timer?: TimerHandle;
  private isStopped = false;
  /** Undefined while this entry answers nobody, and only follows the others. */
  private own?: EntryRecord;

  constructor(private readonly options: EntryDirectoryOptions) {
    this.follower = createStoreFollower({
      ...options,
      what: 'entries',
      waitMs: ENTRIES_LONG_POLL_MS,
      pauseMs: ENTRIES_PAUSE_MS,
      onSnapshot: (items, {isRestored}) => {
        if (isRestored) this.removeLeftAgain(items);
        this.entries.clear();
        for (const {name, value} of items) this.put(name, value);
        if (isRestored) this.keepRunning(() => this.register());
        this.keepRunning(() => this.correctOwn());
        this.publish();
      },
      onChanges: (changes) => {
        for (const {name, value, isDeleted} of changes)
          this.put(name, isDeleted ? undefined : value);
        this.publish();
        // A late removal by an earlier process of this VM.
        if (changes.some((c) => c.isDeleted && c.name === this.own?.vm))
          this.keepRunning(() => this.register());
      },
    });
  }

  start(): void {
    const {clock, random, supervisor} = this.options;
    // The entries of a fleet start together: later, one list has most of them.
    const delayMs = FIRST_LIST_DELAY_MS * (1 + random.float());
    const run = supervisor.guard({name: TaskName.ENTRIES}, () => this.follow());
    clock.schedule({delayMs, run});
  }

  /** Runs a write that is repeated after an exception. */
  private keepRunning(write: () => Promise<void>): void {
    this.options.supervisor.keepRunning({name: TaskName.ENTRIES}, write);
  }

  /** Registers this entry, which answers others from now on. */
  announce(own: EntryRecord): void {
    this.own = own;
    this.keepRunning(() => this.register());
    this.keepRunning(() => this.correctOwn());
  }

  /** Removes this entry, so that no other one asks it. */
  async leave(): Promise<void> {
    this.isStopped = true;
    this.timer?.cancel();
    const {own} = this;
    const {writer, logger} = this.options;
    if (own === undefined) return;
    const removed = await writer.remove(own.vm);
    if (removed.isErr())
      logger.warn('entry not removed from store', {...removed.error});
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.follower.stop();
  }

  private follow(): void {
    if (!this.isStopped) this.follower.start();
  }

  private async register(): Promise<void> {
    const {own} = this;
    if (own === undefined || this.isStopped) return;
    const written = await this.options.writer.createIfAbsent(own.vm, own);
    if (written.isErr()) this.retry(() => this.register());
  }

  private retry(write: () => Promise<void>): void {
    const {clock, random} = this.options;
    if (this.isStopped) return;
    this.timer?.cancel();
    this.timer = clock.schedule({
      delayMs: REGISTRATION_RETRY_MS * (0.5 + random.float()),
      run: () => this.keepRunning(write),
    });
  }

  /** Replaces the record that an earlier process left, if it differs. */
  private async correctOwn(): Promise<void> {
    const {own} = this;
    const {writer, logger} = this.options;
    if (own === undefined || this.isStopped) return;
    const stored = this.entries.get(own.vm);
    if (stored === undefined || isEqual(stored, own)) return;
    const written = await writer.upsert(own.vm, own);
    if (written.isOk()) return;
    logger.warn('entry not written to store, will retry', {...written.error});
    this.retry(() => this.correctOwn());
  }

  /**
   * Removes entries again that had left and that a restored store brings back. One
   * of those that know is enough, so the others wait whether they see it.
   */
  private removeLeftAgain(items: ReadonlyArray<SourceItem<EntryRecord>>): void {
    const back = items.filter(({name}) => this.left.has(name));
    for (const {name} of back) this.keepRunning(() => this.removeAgain(name));
  }

  private async removeAgain(name: string): Promise<void> {
    const {writer, clock, random, logger} = this.options;
    await sleep(clock, random.float() * MAX_REMOVE_AGAIN_DELAY_MS);
    if (this.isStopped || !this.entries.has(name)) return;
    const removed = await writer.remove(name);
    if (removed.isErr())
      logger.warn('entry not removed from store', {...removed.error});
  }

  private put(name: string, record: EntryRecord | undefined): void {
    if (record?.vm === name) {
      this.entries.set(name, record);
      this.left.delete(name);
    } else if (this.entries.delete(name)) {
      this.left.add(name);
    }
  }

  private publish(): void {
    this.options.onEntries([...this.entries.values()]);
  }
}

function isEqual(a: EntryRecord, b: EntryRecord): boolean {
  return a.address === b.address && a.dataCentre === b.dataCentre;
}
