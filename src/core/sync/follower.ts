/** Lists and watches one kind of objects in the platform's store. */
import type {Clock, RandomSource} from '../clock/index.js';
import {sleep} from '../clock/index.js';
import type {
  SourceChange,
  SourceError,
  SourceItem,
  StateSource,
} from '../edges/state-source.js';
import {SourceErrorKind} from '../edges/state-source.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import type {Confirmation} from './key-trust.js';
import type {OutageGate} from './outage-gate.js';
import {confirmedUntilMs} from './confirmed-until.js';
import {
  MIN_BACKOFF_MS,
  MAX_BACKOFF_MS,
  MIN_WAIT_MS,
  REFRESH_DELAY_MS,
  RESTORE_SETTLE_MS,
} from './consts.js';

/** Errors of a wait after which everything is listed again at once. */
const LIST_AGAIN: ReadonlySet<SourceErrorKind> = new Set([
  SourceErrorKind.HISTORY_LOST,
  SourceErrorKind.RESTORED,
]);

/** Where a follower has got to; revisions count within their epoch only. */
interface Cursor {
  readonly revision: number;
  readonly epoch?: number;
}

/** What a follower knows of a snapshot. */
export interface SnapshotInfo {
  /**
   * Whether objects may be missing that are there again soon: a call to the store
   * has failed since the last snapshot, other than for a lost history, or the
   * store was restored a short time ago.
   */
  readonly afterOutage: boolean;
  /** Whether it is the first since the store was restored from a copy. */
  readonly isRestored: boolean;
  /** Whether no other was read before, so that a restore cannot be noticed. */
  readonly isFirst: boolean;
  /** Epoch of the store; undefined if it names none. */
  readonly epoch?: number;
}

/** Receives the objects and changes that a follower reads. */
export interface FollowerListener<T> {
  /** Called with all objects. */
  onSnapshot(items: ReadonlyArray<SourceItem<T>>, about: SnapshotInfo): void;
  onChanges(changes: ReadonlyArray<SourceChange<T>>): void;
  /** The objects received so far were complete at `confirmation.atMs`. */
  onConfirmed(confirmation: Confirmation): void;
  onError(err: SourceError): void;
}

/** Place of a follower among those that share a gate. */
export enum FollowerRole {
  /** Retries during an outage. */
  LEADER = 'leader',
  /** Waits for the leader during an outage. */
  WAITING = 'waiting',
}

const TASK = {name: TaskName.STORE_FOLLOWER};

/**
 * Lists a kind once and then waits for its changes; lists again if changes
 * may have been missed. Every call has a time limit, so that a connection
 * without traffic is detected.
 *
 * @example
 * const follower = new Follower({source, listener, clock, random, waitMs});
 * follower.start();
 */
export class Follower<T> {
  private stopped = false;
  private failures = 0;
  private wasUnavailable = false;
  private epoch?: number;
  private hasEpoch = false;
  private restoredAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: {
      source: StateSource<T>;
      listener: FollowerListener<T>;
      clock: Clock;
      random: RandomSource;
      supervisor: Supervisor;
      /** Maximum wait for a change, in milliseconds. */
      waitMs: number;
      /**
       * Pause after each change, in which further ones gather for one call, in
       * milliseconds. It shortens the wait that follows.
       */
      pauseMs?: number;
      /** Shared with the other followers of the store. */
      gate?: OutageGate;
      /** Role at the gate; `WAITING` by default. */
      role?: FollowerRole;
    },
  ) {}

  start(): void {
    this.options.supervisor.keepRunning(TASK, () => this.run());
  }

  stop(): void {
    this.stopped = true;
  }

  /** Lists everything again soon, without ending the wait in progress. */
  refresh(): void {
    const {clock, supervisor} = this.options;
    const run = supervisor.guard(TASK, () => this.list());
    clock.schedule({delayMs: REFRESH_DELAY_MS, run});
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const cursor = await this.list();
      if (cursor !== undefined) await this.follow(cursor);
    }
  }

  private async list(): Promise<Cursor | undefined> {
    const {source, listener, clock} = this.options;
    const startedMs = clock.now();
    const snapshot = await source.list();
    if (snapshot.isErr()) {
      await this.reportAndBackOff(snapshot.error);
      return undefined;
    }
    this.recordOutcome(true);
    const {items, revision, epoch} = snapshot.value;
    listener.onSnapshot(items, this.describe(epoch));
    this.wasUnavailable = false;
    this.failures = 0;
    listener.onConfirmed({atMs: startedMs, startedMs});
    return {revision, epoch};
  }

  /** Describes a snapshot of an epoch, which becomes the current one. */
  private describe(epoch: number | undefined): SnapshotInfo {
    const nowMs = this.options.clock.now();
    const isFirst = !this.hasEpoch;
    const isRestored = !isFirst && epoch !== this.epoch;
    if (isRestored) this.restoredAtMs = nowMs;
    this.epoch = epoch;
    this.hasEpoch = true;
    const isSettling = nowMs - this.restoredAtMs < RESTORE_SETTLE_MS;
    const afterOutage = this.wasUnavailable || isSettling;
    return {afterOutage, isRestored, isFirst, epoch};
  }

  private async follow({revision: from, epoch}: Cursor): Promise<void> {
    const {source, listener, clock} = this.options;
    let since = from;
    let {waitMs} = this.options;
    while (!this.stopped) {
      const startedMs = clock.now();
      const response = await source.waitForChanges({since, epoch, waitMs});
      if (response.isErr()) {
        await this.handleWaitError(response.error);
        return;
      }
      this.recordOutcome(true);
      const {changes, revision, currentAtMs} = response.value;
      since = revision;
      if (changes.length > 0) listener.onChanges(changes);
      const hasChanges = changes.length > 0;
      const wait = {startedMs, waitMs, endedMs: clock.now(), hasChanges};
      const atMs = currentAtMs ?? confirmedUntilMs(wait);
      listener.onConfirmed({atMs, startedMs});
      // Another process has paused already, and its answers cost the store none.
      const mustPause = hasChanges && currentAtMs === undefined;
      waitMs = mustPause ? await this.pause() : this.options.waitMs;
    }
  }

  /** Pauses after changes; returns how long the next call waits. */
  private async pause(): Promise<number> {
    const {clock, waitMs, pauseMs = 0} = this.options;
    if (pauseMs === 0) return waitMs;
    await sleep(clock, pauseMs);
    return Math.max(waitMs - pauseMs, MIN_WAIT_MS);
  }

  private async handleWaitError(err: SourceError): Promise<void> {
    if (LIST_AGAIN.has(err.kind)) {
      this.options.listener.onError(err);
      return;
    }
    await this.reportAndBackOff(err);
  }

  private async reportAndBackOff(err: SourceError): Promise<void> {
    this.wasUnavailable = true;
    this.options.listener.onError(err);
    this.recordOutcome(err.kind !== SourceErrorKind.UNAVAILABLE);
    const {gate} = this.options;
    if (gate?.isClosed === true && !this.isLeader) await gate.waitForLeader();
    else await this.backOff();
  }

  private get isLeader(): boolean {
    return this.options.role === FollowerRole.LEADER;
  }

  private recordOutcome(isSuccess: boolean): void {
    if (this.isLeader) this.options.gate?.recordLeader(isSuccess);
  }

  private backOff(): Promise<void> {
    const {random} = this.options;
    const limitMs = MIN_BACKOFF_MS * 2 ** this.failures;
    // Bounds the exponent; the delay has reached its maximum before.
    this.failures = Math.min(this.failures + 1, 10);
    const delayMs =
      Math.min(limitMs, MAX_BACKOFF_MS) * (0.5 + random.float() / 2);
    return sleep(this.options.clock, delayMs);
  }
}
