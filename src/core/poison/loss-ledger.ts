/** Counts the targets that were lost under requests, at all entries. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';
import type {RecordedLoss, RecordedLosses} from './recorded-losses.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';

/** Number of losses from which a request counts as their cause. */
export const POISON_LOSSES = 3;

/** Number of losses from which a request is resent only with precautions. */
export const SUSPECT_LOSSES = 2;

/** Outages under one request from which they no longer count as chance. */
export const POISON_OUTAGES = 5;

/** Time for which a loss counts against a request, in milliseconds. */
const LOSS_RETENTION_MS = 600_000;

/** Maximum interval between losses in one outage, in milliseconds. */
const SAME_OUTAGE_MS = 2_000;

/** Maximum requests in each collection; the oldest are dropped first. */
const MAX_REQUESTS = 4_096;

/** A request and the incarnation of a target that was lost under it. */
export interface LossKey {
  readonly request: string;
  readonly incarnation: string;
}

/** Data-centre outages in which targets were lost under a request. */
interface Outages {
  readonly count: number;
  readonly lastMs: number;
}

const NONE: ReadonlySet<string> = new Set();

/**
 * Counts the incarnations of targets that were lost under each request, over
 * all entries. It detects a request that crashes every target that starts it
 * and that is retried at any entry, so that each entry sees only some of its
 * losses. An incarnation counts once, however many equal requests it ran.
 *
 * @example
 * const ledger = new LossLedger({clock});
 * const loss = {request: fingerprint, incarnation: 'i-7@1000'};
 * ledger.recordLoss(loss);
 * ledger.confirm(loss);
 * if (ledger.isPoison(fingerprint)) refuse();
 */
export class LossLedger {
  private readonly ownLosses = new LossTable();
  private readonly otherLosses = new Map<string, LossTable>();
  private readonly outages = new Map<string, Outages>();
  /** Requests that this entry served after others recorded losses. */
  private readonly ownServed = new Set<string>();
  /** The same of the other entries, by entry. */
  private readonly othersServed = new Map<string, ReadonlySet<string>>();
  /** Incarnations that quarantined requests crashed, by request. */
  private readonly attributed = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: {clock: Clock}) {}

  /** Whether no losses and no outages are recorded. */
  get isEmpty(): boolean {
    return (
      this.ownLosses.isEmpty && this.otherLosses.size + this.outages.size === 0
    );
  }

  /** Records a loss whose cause is not known yet. */
  recordLoss(key: LossKey): void {
    this.putOwn(key, false);
  }

  /** Attributes a loss to its request, as no other cause was found. */
  confirm(key: LossKey): void {
    const loss = this.ownLosses.lossesOf(key.request).get(key.incarnation);
    if (loss !== undefined) this.ownLosses.put({...loss, isSettled: true});
  }

  /** Removes a loss that had another cause. */
  dismiss(key: LossKey): void {
    this.ownLosses.remove(key);
  }

  /** Records that a target was lost in an outage of its data centre. */
  recordOutage(key: LossKey): void {
    const {request} = key;
    this.dismiss(key);
    const lastMs = this.options.clock.now();
    const earlier = this.outages.get(request);
    const isSame =
      earlier !== undefined && lastMs - earlier.lastMs <= SAME_OUTAGE_MS;
    const count = (earlier?.count ?? 0) + (isSame ? 0 : 1);
    this.outages.delete(request);
    this.outages.set(request, {count, lastMs});
    dropOldest({entries: this.outages, maxSize: MAX_REQUESTS});
  }

  /**
   * Records that one target served the request completely, so that it crashes
   * none. Returns whether to publish this: other entries have recorded losses
   * under the request and have not received it yet.
   */
  recordServed(request: string): boolean {
    this.outages.delete(request);
    this.ownLosses.removeAll(request);
    const mustPublish =
      this.isRecordedByOthers(request) && !this.ownServed.has(request);
    if (mustPublish) this.ownServed.add(request);
    dropOldest({entries: this.ownServed, maxSize: MAX_REQUESTS});
    return mustPublish;
  }

  /** Entries whose recorded losses have been received. */
  get knownEntries(): readonly string[] {
    return [...this.othersServed.keys()];
  }

  /** Replaces the losses of another entry. */
  updateEntry(entry: string, recorded: RecordedLosses): void {
    const earlier = this.otherLosses.get(entry);
    const nowMs = this.options.clock.now();
    const table = new LossTable();
    for (const {request, life: incarnation, isSettled} of recorded.losses) {
      const known = earlier?.lossesOf(request).get(incarnation);
      const atMs = known?.atMs ?? nowMs;
      table.put({request, incarnation, atMs, isSettled});
    }
    if (table.isEmpty) this.otherLosses.delete(entry);
    else this.otherLosses.set(entry, table);
    this.othersServed.set(entry, new Set(recorded.harmless));
  }

  /** Removes the losses of an entry whose object was deleted. */
  removeEntry(entry: string): void {
    this.otherLosses.delete(entry);
    this.othersServed.delete(entry);
  }

  /** Restores the losses that an earlier incarnation of this entry stored. */
  restore(recorded: RecordedLosses): void {
    for (const {request, life: incarnation} of recorded.losses) {
      // The incarnation that could have diagnosed the cause has ended.
      this.putOwn({request, incarnation}, true);
    }
    for (const request of recorded.harmless) this.ownServed.add(request);
  }

  /** Attributes crashes to a request; they no longer count against others. */
  attribute(request: string, incarnations: readonly string[]): void {
    this.attributed.set(request, new Set(incarnations));
    dropOldest({entries: this.attributed, maxSize: MAX_REQUESTS});
  }

  /** Clears a request that was released: its losses no longer count. */
  reset(request: string): void {
    this.attributed.delete(request);
    this.outages.delete(request);
    for (const table of this.tables()) table.removeAll(request);
  }

  /** Returns the losses of this entry, to share them with the others. */
  toRecordedLosses(): RecordedLosses {
    const losses = [...this.ownLosses.all()]
      .filter((loss) => this.isFresh(loss))
      .map(({request, incarnation, isSettled}): RecordedLoss => {
        return {request, life: incarnation, isSettled};
      });
    return {losses, harmless: [...this.ownServed]};
  }

  /** Returns the incarnations lost under a request, diagnosed or not. */
  incarnationsOf(request: string): ReadonlySet<string> {
    return this.collectIncarnations(request, () => true);
  }

  /**
   * Returns the incarnations lost under a request at this entry before a time,
   * and at other entries at any time: the caller may have retried at them.
   */
  incarnationsBefore(request: string, beforeMs: number): ReadonlySet<string> {
    const own = this.ownLosses.lossesOf(request);
    return this.collectIncarnations(request, (loss) => {
      const isOwn = own.get(loss.incarnation) === loss;
      return !isOwn || loss.atMs <= beforeMs;
    });
  }

  /** Returns whether a request is resent only with precautions. */
  isSuspect(request: string): boolean {
    return this.incarnationsOf(request).size >= SUSPECT_LOSSES;
  }

  /** Returns whether losses must be diagnosed before the request is sent. */
  mayBePoison(request: string): boolean {
    const isOften = this.incarnationsOf(request).size >= POISON_LOSSES;
    return isOften || this.isPoison(request);
  }

  /**
   * Returns whether a request crashes its targets. If another request lost the
   * same targets, either may be the cause, so one more loss is required.
   */
  isPoison(request: string): boolean {
    if ((this.outages.get(request)?.count ?? 0) >= POISON_OUTAGES) return true;
    const incarnations = this.collectIncarnations(
      request,
      ({isSettled}) => isSettled,
    );
    if (incarnations.size < POISON_LOSSES) return false;
    return (
      incarnations.size > POISON_LOSSES ||
      !this.hasOtherSuspect(request, incarnations)
    );
  }

  private putOwn({request, incarnation}: LossKey, isSettled: boolean): void {
    const atMs = this.options.clock.now();
    this.ownLosses.put({request, incarnation, atMs, isSettled});
  }

  private collectIncarnations(
    request: string,
    matches: (loss: Loss) => boolean,
  ): ReadonlySet<string> {
    if (this.isEmpty || this.wasServed(request)) return NONE;
    const incarnations = new Set<string>();
    for (const table of this.tables()) {
      for (const loss of table.lossesOf(request).values()) {
        if (this.isCounted(loss) && matches(loss))
          incarnations.add(loss.incarnation);
      }
    }
    return incarnations;
  }

  /** Returns whether all incarnations were also lost under another request. */
  private hasOtherSuspect(
    request: string,
    incarnations: ReadonlySet<string>,
  ): boolean {
    const shared = new Map<string, Set<string>>();
    for (const table of this.tables()) {
      for (const loss of table.all()) {
        const isOther =
          loss.request !== request && incarnations.has(loss.incarnation);
        if (!isOther || !this.isCounted(loss)) continue;
        const lost = shared.get(loss.request) ?? new Set<string>();
        shared.set(loss.request, lost.add(loss.incarnation));
      }
    }
    return [...shared].some(
      ([other, lost]) =>
        lost.size === incarnations.size && !this.wasServed(other),
    );
  }

  private *tables(): Iterable<LossTable> {
    yield this.ownLosses;
    yield* this.otherLosses.values();
  }

  private isCounted(loss: Loss): boolean {
    return this.isFresh(loss) && !this.isAttributedToOther(loss);
  }

  private isFresh({atMs}: Loss): boolean {
    return this.options.clock.now() - atMs <= LOSS_RETENTION_MS;
  }

  private isAttributedToOther({request, incarnation}: Loss): boolean {
    for (const [cause, incarnations] of this.attributed) {
      if (cause !== request && incarnations.has(incarnation)) return true;
    }
    return false;
  }

  private wasServed(request: string): boolean {
    if (this.ownServed.has(request)) return true;
    for (const requests of this.othersServed.values()) {
      if (requests.has(request)) return true;
    }
    return false;
  }

  private isRecordedByOthers(request: string): boolean {
    for (const table of this.otherLosses.values()) {
      if (table.lossesOf(request).size > 0) return true;
    }
    return false;
  }
}
