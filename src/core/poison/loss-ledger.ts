/** Targets that were lost under requests, as all entries saw it. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';
import type {RecordedLoss, RecordedLosses} from './recorded-losses.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';

/** Losses after which a request counts as their cause. */
export const POISON_LOSSES = 3;

/** Losses from which a request is sent on with care. */
export const SUSPECT_LOSSES = 2;

/** Falls of data centres after which chance explains them no more. */
export const MAX_OUTAGES = 5;

/** Time for which a loss is held against a request, in milliseconds. */
const MEMORY_MS = 600_000;

/** Losses in one fall of a data centre come this close, in milliseconds. */
const ONE_FALL_MS = 2_000;

/** Requests that are remembered of a kind; the oldest ones go first. */
const MAX_REQUESTS = 4_096;

/** A request and the life of a target that it lost. */
export interface LossKey {
  readonly request: string;
  readonly incarnation: string;
}

/** Falls of data centres that took targets from a request. */
interface Falls {
  readonly count: number;
  readonly lastMs: number;
}

const NONE: ReadonlySet<string> = new Set();

/**
 * Counts the lives of targets that were lost under each request, at all
 * entries together. Serves the load of a request that ends every target which
 * begins it and comes again at any entry: one entry sees only some of its
 * losses. A life counts once, however many equal requests were lost with it.
 *
 * @example
 * const ledger = new LossLedger({clock});
 * const loss = {request: fingerprint, life: lifeOf(target.record)};
 * ledger.note(loss);
 * ledger.settle(loss);
 * if (ledger.isPoison(fingerprint)) refuse();
 */
export class LossLedger {
  private readonly own = new LossTable();
  private readonly others = new Map<string, LossTable>();
  private readonly falls = new Map<string, Falls>();
  private readonly ownHarmless = new Set<string>();
  private readonly othersHarmless = new Map<string, ReadonlySet<string>>();
  /** Lives that requests known to be poison have ended, by request. */
  private readonly explained = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: {clock: Clock}) {}

  /** Whether no request has lost a target lately. */
  get isEmpty(): boolean {
    return this.own.isEmpty && this.others.size + this.falls.size === 0;
  }

  /** A target was lost under a request; the cause is not known yet. */
  recordLoss(key: LossKey): void {
    this.putOwn(key, false);
  }

  /** No other cause was found: the loss is held against the request. */
  confirm(key: LossKey): void {
    const loss = this.own.lossesOf(key.request).get(key.incarnation);
    if (loss !== undefined) this.own.put({...loss, isSettled: true});
  }

  /** The loss had another cause. */
  dismiss(key: LossKey): void {
    this.own.remove(key);
  }

  /** The target was lost with its data centre. */
  recordOutage(key: LossKey): void {
    const {request} = key;
    this.dismiss(key);
    const lastMs = this.options.clock.now();
    const earlier = this.falls.get(request);
    const isSame =
      earlier !== undefined && lastMs - earlier.lastMs <= ONE_FALL_MS;
    const count = (earlier?.count ?? 0) + (isSame ? 0 : 1);
    this.falls.delete(request);
    this.falls.set(request, {count, lastMs});
    dropOldest({entries: this.falls, maxSize: MAX_REQUESTS});
  }

  /**
   * One target has served the whole request: it ends none. Whether that is
   * news to other entries, which hold losses against it.
   */
  recordServed(request: string): boolean {
    this.falls.delete(request);
    this.own.removeAll(request);
    const isNews =
      this.isKnownToOthers(request) && !this.ownHarmless.has(request);
    if (isNews) this.ownHarmless.add(request);
    dropOldest({entries: this.ownHarmless, maxSize: MAX_REQUESTS});
    return isNews;
  }

  /** Entries of whose notes something is known. */
  get knownEntries(): readonly string[] {
    return [...this.othersHarmless.keys()];
  }

  /** Takes over what another entry has to tell. */
  updateEntry(entry: string, notes: RecordedLosses): void {
    const earlier = this.others.get(entry);
    const nowMs = this.options.clock.now();
    const table = new LossTable();
    for (const {request, life: incarnation, isSettled} of notes.losses) {
      const known = earlier?.lossesOf(request).get(incarnation);
      const atMs = known?.atMs ?? nowMs;
      table.put({request, incarnation, atMs, isSettled});
    }
    if (table.isEmpty) this.others.delete(entry);
    else this.others.set(entry, table);
    this.othersHarmless.set(entry, new Set(notes.harmless));
  }

  /** An entry's notes are gone. */
  removeEntry(entry: string): void {
    this.others.delete(entry);
    this.othersHarmless.delete(entry);
  }

  /** Takes over what an earlier life of this entry had told. */
  restore(notes: RecordedLosses): void {
    for (const {request, life} of notes.losses) {
      // Nobody is left who could look into its cause.
      this.putOwn({request, incarnation: life}, true);
    }
    for (const request of notes.harmless) this.ownHarmless.add(request);
  }

  /** A request is known to have ended some lives, so others did not. */
  attribute(request: string, lives: readonly string[]): void {
    this.explained.set(request, new Set(lives));
    dropOldest({entries: this.explained, maxSize: MAX_REQUESTS});
  }

  /** A request is let go: what was held against it counts no more. */
  reset(request: string): void {
    this.explained.delete(request);
    this.falls.delete(request);
    for (const table of this.tables()) table.removeAll(request);
  }

  /** What this entry has to tell the others. */
  toRecordedLosses(): RecordedLosses {
    const losses = [...this.own.all()]
      .filter((loss) => this.isFresh(loss))
      .map(({request, incarnation: life, isSettled}): RecordedLoss => {
        return {request, life, isSettled};
      });
    return {losses, harmless: [...this.ownHarmless]};
  }

  /** Lives that were lost under a request, whether looked into or not. */
  incarnationsOf(request: string): ReadonlySet<string> {
    return this.collect(request, () => true);
  }

  /**
   * Lives that were lost under a request before a time, and those of which
   * other entries tell: the request may have gone from one to the next.
   */
  incarnationsBefore(request: string, beforeMs: number): ReadonlySet<string> {
    const own = this.own.lossesOf(request);
    return this.collect(request, (loss) => {
      const isOwn = own.get(loss.incarnation) === loss;
      return !isOwn || loss.atMs <= beforeMs;
    });
  }

  /** Whether a request is to be sent on with care. */
  isSuspect(request: string): boolean {
    return this.incarnationsOf(request).size >= SUSPECT_LOSSES;
  }

  /** Whether the causes of a request's losses have to be known first. */
  mayBePoison(request: string): boolean {
    const isOften = this.incarnationsOf(request).size >= POISON_LOSSES;
    return isOften || this.isPoison(request);
  }

  /**
   * Whether a request ends its targets. Where another one lost the same
   * targets, either may be the cause, so one more loss is awaited.
   */
  isPoison(request: string): boolean {
    if ((this.falls.get(request)?.count ?? 0) >= MAX_OUTAGES) return true;
    const lives = this.collect(request, ({isSettled}) => isSettled);
    if (lives.size < POISON_LOSSES) return false;
    return lives.size > POISON_LOSSES || !this.hasTwin(request, lives);
  }

  private putOwn(
    {request, incarnation: life}: LossKey,
    isSettled: boolean,
  ): void {
    const atMs = this.options.clock.now();
    this.own.put({request, incarnation: life, atMs, isSettled});
  }

  private collect(
    request: string,
    counts: (loss: Loss) => boolean,
  ): ReadonlySet<string> {
    if (this.isEmpty || this.isHarmless(request)) return NONE;
    const lives = new Set<string>();
    for (const table of this.tables()) {
      for (const loss of table.lossesOf(request).values()) {
        if (this.isHeld(loss) && counts(loss)) lives.add(loss.incarnation);
      }
    }
    return lives;
  }

  /** Whether another request has lost all of some lives too. */
  private hasTwin(request: string, lives: ReadonlySet<string>): boolean {
    const shared = new Map<string, Set<string>>();
    for (const table of this.tables()) {
      for (const loss of table.all()) {
        const isOther = loss.request !== request && lives.has(loss.incarnation);
        if (!isOther || !this.isHeld(loss)) continue;
        const theirs = shared.get(loss.request) ?? new Set<string>();
        shared.set(loss.request, theirs.add(loss.incarnation));
      }
    }
    return [...shared].some(
      ([other, theirs]) =>
        theirs.size === lives.size && !this.isHarmless(other),
    );
  }

  private *tables(): Iterable<LossTable> {
    yield this.own;
    yield* this.others.values();
  }

  private isHeld(loss: Loss): boolean {
    return this.isFresh(loss) && !this.isExplained(loss);
  }

  private isFresh({atMs}: Loss): boolean {
    return this.options.clock.now() - atMs <= MEMORY_MS;
  }

  private isExplained({request, incarnation: life}: Loss): boolean {
    for (const [culprit, lives] of this.explained) {
      if (culprit !== request && lives.has(life)) return true;
    }
    return false;
  }

  private isHarmless(request: string): boolean {
    if (this.ownHarmless.has(request)) return true;
    for (const requests of this.othersHarmless.values()) {
      if (requests.has(request)) return true;
    }
    return false;
  }

  private isKnownToOthers(request: string): boolean {
    for (const table of this.others.values()) {
      if (table.lossesOf(request).size > 0) return true;
    }
    return false;
  }
}
