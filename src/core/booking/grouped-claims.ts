/** A claim store that writes many claim changes in one store write. */
import type {Clock, RandomSource} from '../clock/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import type {ObjectStore, StoredObject, StoreError} from '../edges/index.js';
import {ObjectKind, StoreErrorKind} from '../edges/index.js';
import type {ChangeResult, ClaimChange, ClaimSegment} from './claim-log.js';
import {
  CLAIM_SEGMENT,
  ClaimTable,
  createChange,
  SEGMENT_PREFIX,
  segmentIndexOf,
  segmentNameOf,
} from './claim-log.js';
import type {ClaimStore} from './claim-store.js';
import {
  MAX_GROUP_CHANGES,
  LOG_RELOAD_MS,
  MAX_APPEND_ATTEMPTS,
  MAX_CLAIMS,
  SEGMENT_RETENTION_MS,
} from './consts.js';
import type {Claim, StoredClaim, WriteResult} from './types.js';
import {WriteOutcome} from './types.js';

/** A change that waits for the next write. */
interface PendingChange {
  readonly change: ClaimChange;
  readonly resolve: (result: WriteResult) => void;
}

/** A segment in the platform; it is deleted after SEGMENT_RETENTION_MS. */
interface StoredSegment {
  readonly name: string;
  readonly version: number;
  readonly writtenAtMs: number;
}

/** Outcome of an attempt to append a segment. */
enum AppendOutcome {
  DONE = 'done',
  /** Another entry created the segment with this index. */
  CONFLICT = 'taken',
  NO_EFFECT = 'no_effect',
  IN_DOUBT = 'in_doubt',
}

/**
 * Appends groups of changes to the log, one write at a time and at least
 * `writeIntervalMs` apart. A change after an idle interval is written at once.
 *
 * @example
 * const options = {store, clock, random, supervisor, writeIntervalMs: 50};
 * const claims = new GroupedClaims(options);
 */
export class GroupedClaims implements ClaimStore {
  private table = new ClaimTable();
  /** The segments in the platform, oldest first. */
  private segments: StoredSegment[] = [];
  /** When this entry last read or wrote the log, on its own clock. */
  private syncedAtMs = -Infinity;
  private pending: PendingChange[] = [];
  /** Whether a write is scheduled or in progress. */
  private isBusy = false;
  private lastWriteMs = -Infinity;

  constructor(
    private readonly options: {
      store: ObjectStore;
      clock: Clock;
      random: RandomSource;
      supervisor: Supervisor;
      /** Minimum time between two writes, in milliseconds. */
      writeIntervalMs: number;
    },
  ) {}

  create(options: {name: string; claim: Claim}): Promise<WriteResult> {
    return this.enqueue(createChange(options));
  }

  swap(options: {
    name: string;
    expected: StoredClaim;
    claim: Claim;
  }): Promise<WriteResult> {
    return this.enqueue(createChange(options));
  }

  private enqueue(change: ClaimChange): Promise<WriteResult> {
    return new Promise((resolve) => {
      this.pending.push({change, resolve});
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isBusy || this.pending.length === 0) return;
    this.isBusy = true;
    const {clock, writeIntervalMs} = this.options;
    const dueMs = this.lastWriteMs + writeIntervalMs;
    const delayMs = Math.max(0, dueMs - clock.now());
    clock.schedule({delayMs, run: () => this.flush()});
  }

  private flush(): void {
    const {supervisor, clock} = this.options;
    this.lastWriteMs = clock.now();
    const group = this.pending.splice(0, MAX_GROUP_CHANGES);
    const onFailure = () => this.handleFailure(group);
    supervisor.run({name: TaskName.BOOKING, onFailure}, async () => {
      await this.writeGroup(group);
      await this.deleteOldSegment();
      this.finishWrite();
    });
  }

  /** The write may have taken effect, so the log is read again before the next. */
  private handleFailure(group: readonly PendingChange[]): void {
    this.syncedAtMs = -Infinity;
    resolveAll(group, {outcome: WriteOutcome.IN_DOUBT});
    this.finishWrite();
  }

  private finishWrite(): void {
    this.isBusy = false;
    this.schedule();
  }

  private async writeGroup(group: readonly PendingChange[]): Promise<void> {
    if (!(await this.syncLog()) || this.table.size >= MAX_CLAIMS) {
      resolveAll(group, {outcome: WriteOutcome.NO_EFFECT});
      return;
    }
    const nonce = this.options.random.id();
    const changes = group.map(({change}) => change);
    const writtenAtMs = this.options.clock.wallNow();
    const segment = {nonce, writtenAtMs, changes};
    for (let i = 0; i < MAX_APPEND_ATTEMPTS; i++) {
      const outcome = await this.appendSegment(segment);
      if (outcome === AppendOutcome.CONFLICT) continue;
      this.resolveGroup(group, segment, outcome);
      return;
    }
    // At each attempt another entry had created the segment, so this entry
    // wrote none.
    resolveAll(group, {outcome: WriteOutcome.NO_EFFECT});
  }

  private resolveGroup(
    group: readonly PendingChange[],
    segment: ClaimSegment,
    outcome: AppendOutcome,
  ): void {
    if (outcome === AppendOutcome.NO_EFFECT) {
      resolveAll(group, {outcome: WriteOutcome.NO_EFFECT});
      return;
    }
    if (outcome === AppendOutcome.IN_DOUBT) {
      resolveAll(group, {outcome: WriteOutcome.IN_DOUBT});
      return;
    }
    const results = this.table.apply(segment);
    group.forEach(({resolve}, i) => resolve(toWriteResult(results[i]!)));
  }

  private async appendSegment(segment: ClaimSegment): Promise<AppendOutcome> {
    const kind = ObjectKind.CLAIM;
    const name = segmentNameOf(this.table.nextIndex);
    const {store} = this.options;
    const created = await store.create({kind, name, value: segment});
    return created.match(
      (object) => {
        this.trackSegment(object, segment);
        return Promise.resolve(AppendOutcome.DONE);
      },
      (error) => this.handleError(segment, name, error),
    );
  }

  private async handleError(
    segment: ClaimSegment,
    name: string,
    error: StoreError,
  ): Promise<AppendOutcome> {
    const hasNoEffect =
      error.kind === StoreErrorKind.UNAVAILABLE ||
      error.kind === StoreErrorKind.INVALID;
    if (hasNoEffect) return AppendOutcome.NO_EFFECT;
    const kind = ObjectKind.CLAIM;
    const read = await this.options.store.read({kind, name});
    const object = read.isOk() ? read.value.extract() : undefined;
    const found = object === undefined ? undefined : decodeSegment(object);
    // The segment does not exist or is unreadable; the write may still arrive.
    if (found === undefined) return AppendOutcome.IN_DOUBT;
    this.trackSegment(object!, found);
    if (found.nonce === segment.nonce) return AppendOutcome.DONE;
    this.table.apply(found);
    return AppendOutcome.CONFLICT;
  }

  /**
   * Reloads the log at the start and after LOG_RELOAD_MS without a sync, as
   * segments that this entry has not read may then be deleted. Returns false if
   * the log cannot be read.
   */
  private async syncLog(): Promise<boolean> {
    const {clock, store} = this.options;
    const startedAtMs = clock.now();
    if (startedAtMs - this.syncedAtMs < LOG_RELOAD_MS) return true;
    const kind = ObjectKind.CLAIM;
    const listed = await store.list({kind, prefix: SEGMENT_PREFIX});
    if (listed.isErr()) return false;
    const objects = [...listed.value].sort(byName);
    const isLoaded = this.replay(objects);
    if (isLoaded) this.syncedAtMs = startedAtMs;
    return isLoaded;
  }

  /** Returns false if a segment is missing or unreadable. */
  private replay(objects: readonly StoredObject[]): boolean {
    this.table = new ClaimTable();
    this.segments = [];
    const first = objects[0];
    if (first !== undefined) this.table.startAt(segmentIndexOf(first.name));
    for (const object of objects) {
      const segment = decodeSegment(object);
      const isNext = segmentIndexOf(object.name) === this.table.nextIndex;
      if (segment === undefined || !isNext) return false;
      this.table.apply(segment);
      this.trackSegment(object, segment);
    }
    return true;
  }

  private trackSegment(
    object: StoredObject,
    {writtenAtMs}: ClaimSegment,
  ): void {
    const {name, version} = object;
    this.segments.push({name, version, writtenAtMs});
    this.syncedAtMs = this.options.clock.now();
  }

  /**
   * Deletes the oldest segment if it has expired, but never the newest one, as
   * its name determines the next index.
   */
  private async deleteOldSegment(): Promise<void> {
    const oldest = this.segments[0];
    if (oldest === undefined || this.segments.length < 2) return;
    const ageMs = this.options.clock.wallNow() - oldest.writtenAtMs;
    if (ageMs < SEGMENT_RETENTION_MS) return;
    this.segments.shift();
    const kind = ObjectKind.CLAIM;
    const {name, version: expectedVersion} = oldest;
    // Fails if another entry has deleted the segment. After any other failure
    // this entry tries again only once it has reloaded the log.
    await this.options.store.remove({kind, name, expectedVersion});
  }
}

function byName(a: StoredObject, b: StoredObject): number {
  return a.name < b.name ? -1 : 1;
}

function decodeSegment({value}: StoredObject): ClaimSegment | undefined {
  return CLAIM_SEGMENT.decode(value).toMaybe().extract();
}

function resolveAll(
  group: readonly PendingChange[],
  result: WriteResult,
): void {
  for (const {resolve} of group) resolve(result);
}

function toWriteResult({written, stored}: ChangeResult): WriteResult {
  if (written) return {outcome: WriteOutcome.WRITTEN, stored};
  if (stored === undefined) return {outcome: WriteOutcome.NO_EFFECT};
  return {outcome: WriteOutcome.CONFLICT, stored};
}
