/** Counts, over all entries, the targets lost while they ran a request. */
import type {Clock} from '../clock/index.js';
import {AlertedLosses} from './alerted-losses.js';
import {POISON_LOSSES, SETTLING_MS, SUSPECT_LOSSES} from './consts.js';
import {dropOldest} from './drop-oldest.js';
import type {RecordedLoss, RecordedLosses} from './recorded-losses.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';
import {RunningIncarnations} from './running-incarnations.js';

/**
 * Number of data-centre outages from which a request that ran in all of them
 * counts as their cause, as chance no longer explains them.
 */
export const POISON_OUTAGES = 5;

/** Time for which a loss counts against a request, in milliseconds. */
const LOSS_RETENTION_MS = 600_000;

/** Maximum interval between two losses in the same outage, in milliseconds. */
const SAME_OUTAGE_MS = 2_000;

/** Maximum requests in each collection; the oldest are dropped first. */
const MAX_REQUESTS = 4_096;

/** A request and a target incarnation that was lost while it ran it. */
export interface LossKey {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly incarnation: string;
}

/** Data-centre outages in which targets were lost while they ran a request. */
interface Outages {
  readonly count: number;
  /** When the last loss in an outage was recorded. */
  readonly lastMs: number;
}

const NONE: ReadonlySet<string> = new Set();

/**
 * Counts the target incarnations that were lost while they ran a request, for
 * each request and over all entries. It detects a request that crashes every
 * target that starts it and that is retried at any entry, so that each entry
 * sees only some of the losses. An incarnation counts once, however many equal
 * requests it ran. Requests are identified by their fingerprints.
 *
 * @example
 * const ledger = new LossLedger({clock});
 * const loss = {request: fingerprint, incarnation: 'i-7@1000'};
 * ledger.recordLoss(loss);
 * ledger.confirm(loss);
 * if (ledger.isPoison(fingerprint)) refuse();
 */
export class LossLedger {
  /** Losses that alerts of other entries or of this one have told. */
  readonly alerts: AlertedLosses;
  private readonly ownLosses = new LossTable();
  private readonly otherLosses = new Map<string, LossTable>();
  private readonly outages = new Map<string, Outages>();
  /** Requests that this entry served and that others recorded losses of. */
  private readonly ownServed = new Set<string>();
  /** Requests that other entries published as served, by entry. */
  private readonly othersServed = new Map<string, ReadonlySet<string>>();
  /** Target incarnations that quarantined requests crashed, by request. */
  private readonly attributed = new Map<string, ReadonlySet<string>>();
  private readonly running: RunningIncarnations;

  constructor(private readonly options: {clock: Clock}) {
    this.alerts = new AlertedLosses(options);
    this.running = new RunningIncarnations(options);
  }

  /** Whether no losses and no outages are recorded. */
  get isEmpty(): boolean {
    const hasNone = this.ownLosses.isEmpty && this.alerts.isEmpty;
    return hasNone && this.otherLosses.size + this.outages.size === 0;
  }

  /** Records a lost target before the cause is diagnosed. */
  recordLoss(key: LossKey): void {
    this.putOwn(key, false);
  }

  /** Confirms a loss after its diagnosis: no other cause was found. */
  confirm(key: LossKey): void {
    const loss = this.ownLosses.lossesOf(key.request).get(key.incarnation);
    if (loss !== undefined) this.ownLosses.put({...loss, isSettled: true});
  }

  /** Removes a loss that had another cause than the request. */
  dismiss(key: LossKey): void {
    this.ownLosses.remove(key);
  }

  /**
   * Records that an incarnation responded: losses of it that were recorded until
   * now, by any entry, count against no request.
   */
  recordRunning(incarnation: string): void {
    this.running.add(incarnation);
  }

  /** Records that a target was lost in an outage of its data centre. */
  recordOutage(key: LossKey): void {
    const {request} = key;
    this.dismiss(key);
    const lastMs = this.options.clock.now();
    const earlier = this.outages.get(request);
    const isSameOutage =
      earlier !== undefined && lastMs - earlier.lastMs <= SAME_OUTAGE_MS;
    const count = (earlier?.count ?? 0) + (isSameOutage ? 0 : 1);
    this.outages.delete(request);
    this.outages.set(request, {count, lastMs});
    dropOldest({entries: this.outages, maxSize: MAX_REQUESTS});
  }

  /**
   * Records that a target served a request completely, so that the request is
   * harmless. Returns whether the losses of this entry must be published again:
   * it had recorded losses of the request, or other entries have and do not know
   * yet that it is harmless.
   */
  recordServed(request: string): boolean {
    const hadLosses = this.ownLosses.lossesOf(request).size > 0;
    const isNew =
      this.isRecordedByOthers(request) && !this.ownServed.has(request);
    this.outages.delete(request);
    this.ownLosses.removeAll(request);
    if (isNew) this.ownServed.add(request);
    dropOldest({entries: this.ownServed, maxSize: MAX_REQUESTS});
    return isNew || hadLosses;
  }

  /** The other entries from which losses were received, even if none. */
  get knownEntries(): readonly string[] {
    return [...this.othersServed.keys()];
  }

  /** Replaces what another entry has recorded. */
  updateEntry(entry: string, recorded: RecordedLosses): void {
    const earlier = this.otherLosses.get(entry);
    const nowMs = this.options.clock.now();
    const table = new LossTable();
    for (const {request, life: incarnation, isSettled} of recorded.losses) {
      const known = earlier?.lossesOf(request).get(incarnation);
      const atMs = known?.atMs ?? nowMs;
      const isOverdue = nowMs - atMs > SETTLING_MS;
      table.put({
        request,
        incarnation,
        atMs,
        isSettled: isSettled || isOverdue,
      });
    }
    if (table.isEmpty) this.otherLosses.delete(entry);
    else this.otherLosses.set(entry, table);
    this.othersServed.set(entry, new Set(recorded.harmless));
  }

  /** Removes the losses of an entry whose object in the store was deleted. */
  removeEntry(entry: string): void {
    this.otherLosses.delete(entry);
    this.othersServed.delete(entry);
  }

  /** The requests of which this entry holds losses. */
  get ownRequests(): ReadonlySet<string> {
    return new Set([...this.ownLosses.all()].map(({request}) => request));
  }

  /** Returns what an alert tells the other entries of a request. */
  toAlert(request: string): RecordedLosses {
    const settled = new Map<string, boolean>();
    for (const {incarnation, isSettled} of this.lossesOf(request)) {
      const wasSettled = settled.get(incarnation) === true;
      settled.set(incarnation, isSettled || wasSettled);
    }
    const losses = [...settled]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([life, isSettled]) => ({request, life, isSettled}));
    return {losses, harmless: []};
  }

  /** Returns whether this entry knows losses that no alert has told yet. */
  hasUnalerted(request: string): boolean {
    return [...this.lossesOf(request)].some((loss) => !this.alerts.tells(loss));
  }

  /** Restores the losses that an earlier incarnation of this entry stored. */
  restore(recorded: RecordedLosses): void {
    for (const {request, life: incarnation} of recorded.losses) {
      // Nobody can diagnose the cause any more, so the loss counts.
      this.putOwn({request, incarnation}, true);
    }
    for (const request of recorded.harmless) this.ownServed.add(request);
  }

  /** Attributes lost targets to a request; they no longer count for others. */
  attribute(request: string, incarnations: readonly string[]): void {
    this.attributed.set(request, new Set(incarnations));
    dropOldest({entries: this.attributed, maxSize: MAX_REQUESTS});
  }

  /** Clears the losses of a request that was released from quarantine. */
  reset(request: string): void {
    this.attributed.delete(request);
    this.outages.delete(request);
    for (const table of this.tables()) table.removeAll(request);
    this.alerts.remove(request);
  }

  /** Returns what this entry publishes to the others. */
  toRecordedLosses(): RecordedLosses {
    const losses = [...this.ownLosses.all()]
      .filter((loss) => this.isFresh(loss))
      .map(({request, incarnation, isSettled}): RecordedLoss => {
        return {request, life: incarnation, isSettled};
      });
    return {losses, harmless: [...this.ownServed]};
  }

  /**
   * Returns the incarnations that were lost while they ran a request, whether
   * the cause is diagnosed or not.
   */
  incarnationsOf(request: string): ReadonlySet<string> {
    return this.collectIncarnations(request, () => true);
  }

  /**
   * Returns the incarnations that were lost while they ran a request: those
   * that this entry recorded until a time, and all that other entries recorded,
   * as the caller may have tried those entries before.
   */
  incarnationsBefore(request: string, beforeMs: number): ReadonlySet<string> {
    const own = this.ownLosses.lossesOf(request);
    return this.collectIncarnations(request, (loss) => {
      const isOwn = own.get(loss.incarnation) === loss;
      return !isOwn || loss.atMs <= beforeMs;
    });
  }

  /**
   * Returns whether retries of a request must wait for a diagnosis and be
   * isolated from other requests.
   */
  isSuspect(request: string): boolean {
    return this.incarnationsOf(request).size >= SUSPECT_LOSSES;
  }

  /** Returns whether losses must be diagnosed before a request is sent. */
  mayBePoison(request: string): boolean {
    const hasManyLosses = this.incarnationsOf(request).size >= POISON_LOSSES;
    return hasManyLosses || this.isPoison(request);
  }

  /**
   * Returns whether a request crashes its targets. If the same targets also ran
   * another request, either may be the cause, so one more loss is required.
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
    this.running.remove(incarnation);
    this.ownLosses.put({request, incarnation, atMs, isSettled});
  }

  private collectIncarnations(
    request: string,
    matches: (loss: Loss) => boolean,
  ): ReadonlySet<string> {
    if (this.isEmpty || this.wasServed(request)) return NONE;
    const incarnations = new Set<string>();
    for (const loss of this.lossesOf(request)) {
      if (matches(loss)) incarnations.add(loss.incarnation);
    }
    return incarnations;
  }

  /** Returns whether all incarnations were running a second request as well. */
  private hasOtherSuspect(
    request: string,
    incarnations: ReadonlySet<string>,
  ): boolean {
    const shared = new Map<string, Set<string>>();
    for (const loss of this.allLosses()) {
      const isSharedLoss =
        loss.request !== request && incarnations.has(loss.incarnation);
      if (!isSharedLoss || !this.isCounted(loss)) continue;
      const lost = shared.get(loss.request) ?? new Set<string>();
      shared.set(loss.request, lost.add(loss.incarnation));
    }
    return [...shared].some(
      ([other, lost]) =>
        lost.size === incarnations.size && !this.wasServed(other),
    );
  }

  /** The losses of a request that count, over all entries. */
  private *lossesOf(request: string): Iterable<Loss> {
    for (const table of this.tables()) {
      for (const loss of table.lossesOf(request).values())
        if (this.isCounted(loss)) yield loss;
    }
    for (const loss of this.alerts.lossesOf(request))
      if (this.isCounted(loss)) yield loss;
  }

  private *allLosses(): Iterable<Loss> {
    for (const table of this.tables()) yield* table.all();
    yield* this.alerts.all();
  }

  private *tables(): Iterable<LossTable> {
    yield this.ownLosses;
    yield* this.otherLosses.values();
  }

  private isCounted(loss: Loss): boolean {
    if (!this.isFresh(loss) || this.running.contradicts(loss)) return false;
    return !this.isAttributedToOther(loss);
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
    if (this.ownServed.has(request) || this.alerts.isRefuted(request))
      return true;
    for (const requests of this.othersServed.values()) {
      if (requests.has(request)) return true;
    }
    return false;
  }

  private isRecordedByOthers(request: string): boolean {
    if (this.alerts.has(request)) return true;
    for (const table of this.otherLosses.values()) {
      if (table.lossesOf(request).size > 0) return true;
    }
    return false;
  }
}
