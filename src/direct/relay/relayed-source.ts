/** Reads a kind through another entry, or from the store for itself and others. */
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {Clock, RandomSource} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {
  ChangeQuery,
  ChangeSet,
  Snapshot,
  SourceError,
  StateSource,
} from '../../core/edges/state-source.js';
import {SourceErrorKind} from '../../core/edges/state-source.js';
import type {ChangeLog} from '../../core/relay/index.js';
import {confirmedUntilMs} from '../../core/sync/index.js';
import {MAX_FALLBACK_DELAY_MS, MAX_REPEAT_DELAY_MS} from './consts.js';

/** Result of asking another entry. */
export enum AskOutcome {
  ANSWERED = 'answered',
  /** No entry is to be asked: this one reads the store. */
  NONE = 'none',
  /** The entry gave no usable answer. */
  FAILED = 'failed',
}

/** The answer of another entry. */
export type AskResult =
  | {
      readonly outcome: AskOutcome.ANSWERED;
      readonly changes: ChangeSet<unknown>;
    }
  | {readonly outcome: AskOutcome.NONE | AskOutcome.FAILED};

/** A wait at the store that has ended. */
interface FinishedRead {
  /** When its call started, on the monotonic clock. */
  readonly startedMs: number;
  readonly read: Result<ChangeSet<unknown>, SourceError>;
}

/** Dependencies of a relayed source. */
export interface RelayedSourceOptions {
  readonly store: StateSource<unknown>;
  readonly log: ChangeLog;
  /** Longest wait at the store for this query, in milliseconds. */
  readonly storeWaitMs: (query: ChangeQuery) => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** How many entries may fail to answer before the store is read. */
  readonly maxAsks: number;
  /** Asks the chosen entry for changes. */
  readonly ask: (query: ChangeQuery) => Promise<AskResult>;
  /** Called when the log has changed. */
  readonly onLogChanged: () => void;
  /** Called when the store has answered a wait, or has not. */
  readonly onStoreOutcome: (isSuccess: boolean) => void;
}

/**
 * A source whose waits for changes are answered by another entry while one is
 * chosen. Otherwise it waits at the store, and logs what it reads for entries
 * that ask this one. Lists are always read from the store.
 *
 * @example
 * const source = new RelayedSource(options);
 * const changes = await source.waitForChanges({since: 41, waitMs: 2_000});
 */
export class RelayedSource implements StateSource<unknown> {
  constructor(private readonly options: RelayedSourceOptions) {}

  list(): ResultAsync<Snapshot<unknown>, SourceError> {
    return this.options.store.list();
  }

  waitForChanges(
    query: ChangeQuery,
  ): ResultAsync<ChangeSet<unknown>, SourceError> {
    return new ResultAsync(this.wait(query));
  }

  private async wait(
    query: ChangeQuery,
  ): Promise<Result<ChangeSet<unknown>, SourceError>> {
    const {clock, random, ask, maxAsks} = this.options;
    for (let asks = 0; asks < maxAsks; asks++) {
      const asked = await ask(query);
      if (asked.outcome === AskOutcome.ANSWERED) {
        this.stopReading();
        return ok(asked.changes);
      }
      if (asked.outcome === AskOutcome.NONE) break;
      await sleep(clock, random.float() * MAX_FALLBACK_DELAY_MS);
    }
    return this.readStore(query);
  }

  private async readStore(
    query: ChangeQuery,
  ): Promise<Result<ChangeSet<unknown>, SourceError>> {
    const {log, clock, storeWaitMs, onLogChanged} = this.options;
    const {since, epoch} = query;
    const waitMs = storeWaitMs(query);
    log.startReading(since, epoch);
    const {startedMs, read} = await this.waitAtStore({since, epoch, waitMs});
    if (read.isErr()) {
      this.handleError(read.error);
      return err(read.error);
    }
    const {changes, revision} = read.value;
    const hasChanges = changes.length > 0;
    const endedMs = clock.now();
    const currentAtMs = confirmedUntilMs({
      startedMs,
      waitMs,
      endedMs,
      hasChanges,
    });
    this.options.onStoreOutcome(true);
    log.append({changes, revision, currentAtMs});
    onLogChanged();
    return ok({changes, revision});
  }

  /**
   * Waits at the store, and once more if the store cuts the wait off, as it may.
   * The entries that follow this one then need not go to the store themselves.
   */
  private async waitAtStore(query: ChangeQuery): Promise<FinishedRead> {
    const {store, clock, random} = this.options;
    const startedMs = clock.now();
    const read = await store.waitForChanges(query);
    const hasTimedOut = clock.now() - startedMs >= query.waitMs;
    const isCutOff =
      read.isErr() &&
      read.error.kind === SourceErrorKind.UNAVAILABLE &&
      !hasTimedOut;
    if (!isCutOff) return {startedMs, read};
    await sleep(clock, random.float() * MAX_REPEAT_DELAY_MS);
    const repeatedMs = clock.now();
    const repeated = await store.waitForChanges(query);
    return {startedMs: repeatedMs, read: repeated};
  }

  private handleError({kind}: SourceError): void {
    this.stopReading();
    if (kind === SourceErrorKind.UNAVAILABLE)
      this.options.onStoreOutcome(false);
  }

  private stopReading(): void {
    const {log, onLogChanged} = this.options;
    if (!log.isReading) return;
    log.stopReading();
    onLogChanged();
  }
}
