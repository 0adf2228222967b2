/** Claims in groups: many changes of claims to one write of the platform. */
import type {Clock, RandomSource} from '../clock/index.js';
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

interface Waiting {
  readonly change: ClaimChange;
  readonly resolve: (result: WriteResult) => void;
}

/** A segment that can be deleted once it is old. */
interface KeptSegment {
  readonly name: string;
  readonly version: number;
  readonly writtenAtMs: number;
}

/** What an attempt to append a segment came to. */
enum Append {
  DONE = 'done',
  /** Another entry's segment has the place. */
  TAKEN = 'taken',
  NO_EFFECT = 'no_effect',
  IN_DOUBT = 'in_doubt',
}

/**
 * Appends groups of changes to the log, one write at a time and no more often
 * than the pace. A claim that is alone is written at once.
 *
 * @example
 * const claims = new GroupedClaims({store, clock, random, paceMs: 50});
 */
export class GroupedClaims implements ClaimStore {
  private table = new ClaimTable();
  /** Segments in the platform, oldest first. */
  private kept: KeptSegment[] = [];
  private followedAtMs = -Infinity;
  private waiting: Waiting[] = [];
  private busy = false;
  private lastWriteMs = -Infinity;

  constructor(
    private readonly options: {
      store: ObjectStore;
      clock: Clock;
      random: RandomSource;
      /** Least time between two writes, in milliseconds. */
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
      this.waiting.push({change, resolve});
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.busy || this.waiting.length === 0) return;
    this.busy = true;
    const {clock, writeIntervalMs: paceMs} = this.options;
    const dueMs = this.lastWriteMs + paceMs;
    const delayMs = Math.max(0, dueMs - clock.now());
    clock.schedule({delayMs, run: () => void this.flush()});
  }

  private async flush(): Promise<void> {
    this.lastWriteMs = this.options.clock.now();
    const group = this.waiting.splice(0, MAX_GROUP_CHANGES);
    await this.write(group);
    await this.trim();
    this.busy = false;
    this.schedule();
  }

  private async write(group: readonly Waiting[]): Promise<void> {
    if (!(await this.follow()) || this.table.size >= MAX_CLAIMS) {
      settleAll(group, {outcome: WriteOutcome.NO_EFFECT});
      return;
    }
    const nonce = this.options.random.id();
    const changes = group.map(({change}) => change);
    const writtenAtMs = this.options.clock.wallNow();
    const segment = {nonce, writtenAtMs, changes};
    for (let i = 0; i < MAX_APPEND_ATTEMPTS; i++) {
      const append = await this.append(segment);
      if (append === Append.TAKEN) continue;
      this.settle(group, segment, append);
      return;
    }
    // Each try met another's segment, so none of them was written.
    settleAll(group, {outcome: WriteOutcome.NO_EFFECT});
  }

  private settle(
    group: readonly Waiting[],
    segment: ClaimSegment,
    append: Append,
  ): void {
    if (append === Append.NO_EFFECT) {
      settleAll(group, {outcome: WriteOutcome.NO_EFFECT});
      return;
    }
    if (append === Append.IN_DOUBT) {
      settleAll(group, {outcome: WriteOutcome.IN_DOUBT});
      return;
    }
    const results = this.table.apply(segment);
    group.forEach(({resolve}, i) => resolve(toWriteResult(results[i]!)));
  }

  private async append(segment: ClaimSegment): Promise<Append> {
    const kind = ObjectKind.CLAIM;
    const name = segmentNameOf(this.table.nextIndex);
    const {store} = this.options;
    const created = await store.create({kind, name, value: segment});
    return created.match(
      (object) => {
        this.keep(object, segment);
        return Promise.resolve(Append.DONE);
      },
      (error) => this.afterError(segment, name, error),
    );
  }

  private async afterError(
    segment: ClaimSegment,
    name: string,
    error: StoreError,
  ): Promise<Append> {
    const certain =
      error.kind === StoreErrorKind.UNAVAILABLE ||
      error.kind === StoreErrorKind.INVALID;
    if (certain) return Append.NO_EFFECT;
    const kind = ObjectKind.CLAIM;
    const read = await this.options.store.read({kind, name});
    const object = read.isOk() ? read.value.extract() : undefined;
    const found = object === undefined ? undefined : decodeSegment(object);
    // Nothing there yet: the write may still be on its way.
    if (found === undefined) return Append.IN_DOUBT;
    this.keep(object!, found);
    if (found.nonce === segment.nonce) return Append.DONE;
    this.table.apply(found);
    return Append.TAKEN;
  }

  /**
   * Replays the log where this entry has not followed it: at its start, and
   * after a pause so long that segments which it missed may be deleted.
   */
  private async follow(): Promise<boolean> {
    const {clock, store} = this.options;
    const startedAtMs = clock.now();
    if (startedAtMs - this.followedAtMs < LOG_RELOAD_MS) return true;
    const kind = ObjectKind.CLAIM;
    const listed = await store.list({kind, prefix: SEGMENT_PREFIX});
    if (listed.isErr()) return false;
    const objects = [...listed.value].sort(byName);
    const loaded = this.replay(objects);
    if (loaded) this.followedAtMs = startedAtMs;
    return loaded;
  }

  private replay(objects: readonly StoredObject[]): boolean {
    this.table = new ClaimTable();
    this.kept = [];
    const first = objects[0];
    if (first !== undefined) this.table.startAt(segmentIndexOf(first.name));
    for (const object of objects) {
      const segment = decodeSegment(object);
      const isNext = segmentIndexOf(object.name) === this.table.nextIndex;
      if (segment === undefined || !isNext) return false;
      this.table.apply(segment);
      this.keep(object, segment);
    }
    return true;
  }

  private keep(object: StoredObject, {writtenAtMs}: ClaimSegment): void {
    const {name, version} = object;
    this.kept.push({name, version, writtenAtMs});
    this.followedAtMs = this.options.clock.now();
  }

  /** Deletes one old segment, but never the newest: it holds the place. */
  private async trim(): Promise<void> {
    const oldest = this.kept[0];
    if (oldest === undefined || this.kept.length < 2) return;
    const ageMs = this.options.clock.wallNow() - oldest.writtenAtMs;
    if (ageMs < SEGMENT_RETENTION_MS) return;
    this.kept.shift();
    const kind = ObjectKind.CLAIM;
    const {name, version: expectedVersion} = oldest;
    // Another entry may have deleted it; a failure leaves it for a restart.
    await this.options.store.remove({kind, name, expectedVersion});
  }
}

function byName(a: StoredObject, b: StoredObject): number {
  return a.name < b.name ? -1 : 1;
}

function decodeSegment({value}: StoredObject): ClaimSegment | undefined {
  return CLAIM_SEGMENT.decode(value).toMaybe().extract();
}

function settleAll(group: readonly Waiting[], result: WriteResult): void {
  for (const {resolve} of group) resolve(result);
}

function toWriteResult({written, stored}: ChangeResult): WriteResult {
  if (written) return {outcome: WriteOutcome.WRITTEN, stored};
  if (stored === undefined) return {outcome: WriteOutcome.NO_EFFECT};
  return {outcome: WriteOutcome.CONFLICT, stored};
}
