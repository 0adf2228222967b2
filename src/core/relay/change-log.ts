/** The last changes of one kind that this process has read from the store. */
import type {Clock} from '../clock/index.js';
import {SuspensionDetector} from '../clock/index.js';
import type {SourceChange} from '../edges/state-source.js';
import {MAX_LOGGED_CHANGES} from './consts.js';

/** What a log tells a process that follows it. */
export enum LogAnswer {
  /** There are changes since the revision. */
  CHANGES = 'changes',
  /** The log has not reached the revision, or has nothing new. */
  WAIT = 'wait',
  /** This process does not read the kind, or cannot. */
  NOT_READING = 'not_reading',
  /** The log begins after the revision, or is of another epoch. */
  TOO_OLD = 'too_old',
}

/** The result of a finished read. */
export interface LoggedRead {
  readonly changes: ReadonlyArray<SourceChange<unknown>>;
  /** The revision that the read has reached. */
  readonly revision: number;
  /** Until when the changes are complete, on the monotonic clock. */
  readonly currentAtMs: number;
}

interface LoggedChange {
  readonly change: SourceChange<unknown>;
  /** Revision of the read that brought it. */
  readonly revision: number;
}

/**
 * Keeps the last change of each object since a revision, for the processes that
 * follow this one. An object that changes often takes the space of one change.
 *
 * @example
 * const log = new ChangeLog({clock});
 * log.startReading(40);
 * log.append({changes, revision: 42, currentAtMs});
 * log.answer(41); // LogAnswer.CHANGES
 */
export class ChangeLog {
  private readonly changes = new Map<string, LoggedChange>();
  private readonly suspension: SuspensionDetector;
  /** The log has all changes after this revision. */
  private completeFrom = Number.POSITIVE_INFINITY;
  private lastRevision = Number.NEGATIVE_INFINITY;
  private epoch?: number;
  private currentAtMs?: number;
  private isReadingKind = false;

  constructor(options: {clock: Clock}) {
    this.suspension = new SuspensionDetector(options.clock);
  }

  /** The revision that the log has reached. */
  get revision(): number {
    return this.lastRevision;
  }

  get isReading(): boolean {
    return this.isReadingKind;
  }

  /**
   * Until when the log is complete, on the monotonic clock; undefined if that is
   * not known, as the machine may have been suspended since.
   */
  get confirmedAtMs(): number | undefined {
    return this.suspension.hasJumped() ? undefined : this.currentAtMs;
  }

  /** Begins a read of the changes after a revision of an epoch. */
  startReading(since: number, epoch?: number): void {
    this.isReadingKind = true;
    if (since === this.lastRevision && epoch === this.epoch) return;
    this.epoch = epoch;
    this.changes.clear();
    this.completeFrom = since;
    this.lastRevision = since;
    this.currentAtMs = undefined;
  }

  /** Adds what a read has brought. */
  append({changes, revision, currentAtMs}: LoggedRead): void {
    for (const change of changes) {
      // Reinserted, so that the order is by last change.
      this.changes.delete(change.name);
      this.changes.set(change.name, {change, revision});
    }
    this.dropOldest();
    this.lastRevision = revision;
    this.currentAtMs = currentAtMs;
    this.suspension.reset();
  }

  /** Records that this process no longer reads the kind from the store. */
  stopReading(): void {
    this.isReadingKind = false;
  }

  /** Whether the log has revisions of an epoch. */
  isOfEpoch(epoch?: number): boolean {
    return this.epoch === epoch;
  }

  /** Returns what the log can tell a process that has reached a revision. */
  answer(since: number, epoch?: number): LogAnswer {
    if (!this.isReadingKind) return LogAnswer.NOT_READING;
    if (!this.isOfEpoch(epoch)) return LogAnswer.TOO_OLD;
    if (since < this.completeFrom) return LogAnswer.TOO_OLD;
    const hasChanges = this.changesSince(since).length > 0;
    return hasChanges ? LogAnswer.CHANGES : LogAnswer.WAIT;
  }

  /** The changes after a revision, in the order of their reads. */
  changesSince(since: number): ReadonlyArray<SourceChange<unknown>> {
    return [...this.changes.values()]
      .filter(({revision}) => revision > since)
      .map(({change}) => change);
  }

  private dropOldest(): void {
    for (const [name, {revision}] of this.changes) {
      if (this.changes.size <= MAX_LOGGED_CHANGES) return;
      this.changes.delete(name);
      this.completeFrom = Math.max(this.completeFrom, revision);
    }
  }
}
