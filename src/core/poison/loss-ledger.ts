/** Counts, over all entries, the targets lost while they ran a suspect. */
import type {Clock} from '../clock/index.js';
import {AlertedLosses} from './alerted-losses.js';
import {Attributions} from './attributions.js';
import {PartLosses} from './blamed-part.js';
import {
  MAX_PROMPTS,
  POISON_LOSSES,
  POISON_PART_LOSSES,
  SETTLING_MS,
  SUSPECT_LOSSES,
} from './consts.js';
import {dropOldest} from './drop-oldest.js';
import type {
  PartLoss,
  RecordedLoss,
  RecordedLosses,
  RecordedPrompt,
} from './recorded-losses.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';
import {LossTables} from './loss-tables.js';
import {OutageCounts} from './outage-counts.js';
import {RunningIncarnations} from './running-incarnations.js';
import {PromptDigest} from './prompt-digest.js';
import type {PartSuspect} from './suspects.js';
import {isPromptPart} from './suspects.js';

/**
 * Number of data-centre outages from which a suspect that ran in all of them
 * counts as their cause, as chance no longer explains them.
 */
export const POISON_OUTAGES = 5;

/** Time for which a loss counts against a suspect, in milliseconds. */
const LOSS_RETENTION_MS = 600_000;

/** Maximum suspects in each collection; the oldest are dropped first. */
const MAX_SUSPECTS = 4_096;

/** A suspect and a target incarnation that was lost while it ran it. */
export interface LossKey {
  /** Fingerprint of a request, or key of a prompt part. */
  readonly suspect: string;
  readonly incarnation: string;
}

/** A loss when it is recorded. */
export interface NewLoss extends LossKey {
  /** Present if the suspect is a prompt part. */
  readonly part?: PartLoss;
}

const NONE: ReadonlySet<string> = new Set();

/**
 * Counts the target incarnations that were lost while they ran a suspect, for
 * each suspect and over all entries. It detects a suspect that crashes every
 * target that starts it and that is retried at any entry, so that each entry
 * sees only some of the losses. An incarnation counts once, however many equal
 * suspects it ran. Suspects are identified by their fingerprints.
 *
 * @example
 * const ledger = new LossLedger({clock});
 * const loss = {suspect: fingerprint, incarnation: 'i-7@1000'};
 * ledger.recordLoss(loss);
 * ledger.confirm(loss);
 * if (ledger.isPoison(fingerprint)) refuse();
 */
export class LossLedger {
  /** Losses that alerts of other entries or of this one have told. */
  readonly alerts: AlertedLosses;
  private readonly tables: LossTables;
  private readonly outages: OutageCounts;
  /** Suspects that this entry served and that others recorded losses of. */
  private readonly ownServed = new Set<string>();
  /** Suspects that other entries published as served, by entry. */
  private readonly othersServed = new Map<string, ReadonlySet<string>>();
  private readonly attributions = new Attributions({
    wasLostWith: (...loss) => this.tables.wasLostWith(...loss),
  });
  private readonly running: RunningIncarnations;

  constructor(private readonly options: {clock: Clock}) {
    this.alerts = new AlertedLosses(options);
    this.tables = new LossTables({alerts: this.alerts});
    this.running = new RunningIncarnations(options);
    this.outages = new OutageCounts(options);
  }

  /** Whether no losses and no outages are recorded. */
  get isEmpty(): boolean {
    return this.tables.isEmpty && this.outages.isEmpty;
  }

  /** Records a lost target before the cause is diagnosed. */
  recordLoss(loss: NewLoss): void {
    this.putOwn(loss, false);
  }

  /**
   * Records the parts of the prompt of a request that are not recorded one by
   * one. Its losses, which must be recorded before, count against each of them.
   */
  recordPrompt(request: string, parts: readonly PartSuspect[]): void {
    const keys = parts.map(({key}) => key);
    this.tables.own.putPrompt(request, PromptDigest.of(keys));
  }

  /** Records the losses of a request against one of its parts as well. */
  namePart(request: string, {key, position}: PartSuspect): void {
    const part = {by: request, position};
    for (const loss of this.tables.own.lossesOf(request).values())
      this.tables.own.put({...loss, suspect: key, part});
  }

  /** Removes from a part what `namePart` has recorded. */
  unnamePart(request: string, key: string): void {
    for (const {incarnation, part} of this.tables.own.lossesOf(key).values())
      if (part?.by === request) this.dismiss({suspect: key, incarnation});
  }

  /** Confirms a loss after its diagnosis: no other cause was found. */
  confirm(key: LossKey): void {
    const loss = this.tables.own.lossesOf(key.suspect).get(key.incarnation);
    if (loss !== undefined) this.tables.own.put({...loss, isSettled: true});
  }

  /** Removes a loss that had another cause than the suspect. */
  dismiss(key: LossKey): void {
    this.tables.own.remove(key);
  }

  /**
   * Records that an incarnation responded: losses of it that were recorded until
   * now, by any entry, count against no suspect.
   */
  recordRunning(incarnation: string): void {
    this.running.add(incarnation);
  }

  /** Records that a target was lost in an outage of its data centre. */
  recordOutage(key: LossKey): void {
    this.dismiss(key);
    this.outages.add(key.suspect);
  }

  /**
   * Records that a target served a suspect completely, so that the suspect is
   * harmless. Returns whether the losses of this entry must be published again:
   * it had recorded losses of the suspect, or other entries have and do not know
   * yet that it is harmless.
   */
  recordServed(suspect: string): boolean {
    const hadLosses = this.tables.own.lossesOf(suspect).size > 0;
    const isNew =
      this.tables.isRecordedByOthers(suspect) && !this.ownServed.has(suspect);
    this.outages.remove(suspect);
    this.tables.own.removeAll(suspect);
    if (isNew) this.ownServed.add(suspect);
    dropOldest({entries: this.ownServed, maxSize: MAX_SUSPECTS});
    return isNew || hadLosses;
  }

  /** The other entries from which losses were received, even if none. */
  get knownEntries(): readonly string[] {
    return [...this.othersServed.keys()];
  }

  /** Replaces what another entry has recorded. */
  updateEntry(entry: string, recorded: RecordedLosses): void {
    const earlier = this.tables.otherOf(entry);
    const nowMs = this.options.clock.now();
    const table = new LossTable();
    for (const recordedLoss of recorded.losses) {
      const {request: suspect, life: incarnation, isSettled} = recordedLoss;
      const known = earlier?.lossesOf(suspect).get(incarnation);
      const atMs = known?.atMs ?? nowMs;
      const isOverdue = nowMs - atMs > SETTLING_MS;
      table.put({
        suspect,
        incarnation,
        atMs,
        isSettled: isSettled || isOverdue,
        part: recordedLoss.part,
      });
    }
    putPrompts(table, recorded.prompts);
    this.tables.setOther(entry, table);
    this.othersServed.set(entry, new Set(recorded.harmless));
  }

  /** Removes the losses of an entry whose object in the store was deleted. */
  removeEntry(entry: string): void {
    this.tables.removeOther(entry);
    this.othersServed.delete(entry);
  }

  /** The suspects of which this entry holds losses. */
  get ownSuspects(): ReadonlySet<string> {
    return new Set([...this.tables.own.all()].map(({suspect}) => suspect));
  }

  /** Whether this entry holds losses of a suspect. */
  hasOwnLosses(suspect: string): boolean {
    return this.tables.own.lossesOf(suspect).size > 0;
  }

  /** The prompt parts of which any entry has recorded losses. */
  partSuspects(): ReadonlySet<string> {
    return this.tables.partSuspects();
  }

  /** Returns what an alert tells the other entries of a suspect. */
  toAlert(suspect: string): RecordedLosses {
    const merged = new Map<string, RecordedLoss>();
    for (const loss of this.lossesOf(suspect)) {
      const wasSettled = merged.get(loss.incarnation)?.isSettled === true;
      const isSettled = loss.isSettled || wasSettled;
      merged.set(loss.incarnation, {...toRecordedLoss(loss), isSettled});
    }
    const losses = [...merged.values()];
    losses.sort((a, b) => (a.life < b.life ? -1 : 1));
    return {losses, harmless: []};
  }

  /** Returns whether this entry knows losses that no alert has told yet. */
  hasUnalerted(suspect: string): boolean {
    return [...this.lossesOf(suspect)].some((loss) => !this.alerts.tells(loss));
  }

  /** Restores the losses that an earlier incarnation of this entry stored. */
  restore(recorded: RecordedLosses): void {
    for (const {request: suspect, life: incarnation, part} of recorded.losses) {
      // Nobody can diagnose the cause any more, so the loss counts.
      this.putOwn({suspect, incarnation, part}, true);
    }
    putPrompts(this.tables.own, recorded.prompts);
    for (const suspect of recorded.harmless) this.ownServed.add(suspect);
  }

  /** Attributes lost targets to a suspect; they no longer count for others. */
  attribute(suspect: string, incarnations: readonly string[]): void {
    this.attributions.add(suspect, incarnations);
  }

  /** Clears the losses of a suspect that was released from quarantine. */
  reset(suspect: string): void {
    this.attributions.remove(suspect);
    this.outages.remove(suspect);
    this.tables.removeAll(suspect);
    this.alerts.remove(suspect);
  }

  /** Returns what this entry publishes to the others. */
  toRecordedLosses(): RecordedLosses {
    const losses = [...this.tables.own.all()]
      .filter((loss) => this.isFresh(loss))
      .map(toRecordedLoss);
    const prompts = this.toRecordedPrompts();
    return {
      losses,
      ...(prompts.length > 0 ? {prompts} : {}),
      harmless: [...this.ownServed],
    };
  }

  /** The prompts whose requests have losses that are not explained. */
  private toRecordedPrompts(): RecordedPrompt[] {
    const {own} = this.tables;
    return [...own.prompts]
      .filter(([request]) =>
        [...own.lossesOf(request).values()].some((loss) =>
          this.isCounted(loss),
        ),
      )
      .map(([request, digest]) => ({request, parts: digest.encode()}));
  }

  /**
   * Returns the incarnations that were lost while they ran a suspect, whether
   * the cause is diagnosed or not.
   */
  incarnationsOf(suspect: string): ReadonlySet<string> {
    return this.collectIncarnations(suspect, () => true);
  }

  /**
   * Returns the incarnations that were lost while they ran a suspect: those
   * that this entry recorded until a time, and all that other entries recorded,
   * as the caller may have tried those entries before.
   */
  incarnationsBefore(suspect: string, beforeMs: number): ReadonlySet<string> {
    const own = this.tables.own.lossesOf(suspect);
    return this.collectIncarnations(suspect, (loss) => {
      const isOwn = own.get(loss.incarnation) === loss;
      return !isOwn || loss.atMs <= beforeMs;
    });
  }

  /**
   * Returns whether retries of a suspect must wait for a diagnosis and be
   * isolated from other suspects.
   */
  isSuspect(suspect: string): boolean {
    if (isPromptPart(suspect)) return this.mayBePoison(suspect);
    return this.incarnationsOf(suspect).size >= SUSPECT_LOSSES;
  }

  /** Returns whether losses must be diagnosed before a suspect is sent. */
  mayBePoison(suspect: string): boolean {
    if (isPromptPart(suspect))
      return this.partLossesOf(suspect).areEnough(POISON_LOSSES);
    const hasManyLosses = this.incarnationsOf(suspect).size >= POISON_LOSSES;
    return hasManyLosses || this.isPoison(suspect);
  }

  /**
   * Returns whether a suspect crashes its targets. If the same targets also ran
   * another suspect, either may be the cause, so one more loss is required.
   */
  isPoison(suspect: string): boolean {
    if (isPromptPart(suspect)) return this.isPoisonPart(suspect);
    if (this.outages.countOf(suspect) >= POISON_OUTAGES) return true;
    const incarnations = this.collectIncarnations(
      suspect,
      ({isSettled}) => isSettled,
    );
    if (incarnations.size < POISON_LOSSES) return false;
    return (
      incarnations.size > POISON_LOSSES ||
      !this.hasOtherSuspect(suspect, incarnations)
    );
  }

  private putOwn(loss: NewLoss, isSettled: boolean): void {
    const atMs = this.options.clock.now();
    this.running.remove(loss.incarnation);
    this.tables.own.put({...loss, atMs, isSettled});
  }

  /** Returns whether a prompt part crashes its targets. */
  private isPoisonPart(part: string): boolean {
    const losses = this.partLossesOf(part, ({isSettled}) => isSettled);
    if (!losses.areEnough(POISON_PART_LOSSES)) return false;
    const others = new Set([...this.tables.all()].map(({suspect}) => suspect));
    return ![...others].some(
      (other) =>
        other !== part &&
        isPromptPart(other) &&
        this.partLossesOf(other).explain(losses),
    );
  }

  private partLossesOf(
    part: string,
    matches: (loss: Loss) => boolean = () => true,
  ): PartLosses {
    const isCleared = this.isEmpty || this.wasServed(part);
    const losses = isCleared ? [] : [...this.lossesOf(part)];
    return new PartLosses(losses.filter(matches));
  }

  private collectIncarnations(
    suspect: string,
    matches: (loss: Loss) => boolean,
  ): ReadonlySet<string> {
    if (this.isEmpty || this.wasServed(suspect)) return NONE;
    const incarnations = new Set<string>();
    for (const loss of this.lossesOf(suspect)) {
      if (matches(loss)) incarnations.add(loss.incarnation);
    }
    return incarnations;
  }

  /** Returns whether all incarnations were running a second request as well. */
  private hasOtherSuspect(
    suspect: string,
    incarnations: ReadonlySet<string>,
  ): boolean {
    const shared = new Map<string, Set<string>>();
    for (const loss of this.tables.all()) {
      const isSharedLoss =
        loss.suspect !== suspect && incarnations.has(loss.incarnation);
      if (!isSharedLoss || isPromptPart(loss.suspect)) continue;
      if (!this.isCounted(loss)) continue;
      const lost = shared.get(loss.suspect) ?? new Set<string>();
      shared.set(loss.suspect, lost.add(loss.incarnation));
    }
    return [...shared].some(
      ([other, lost]) =>
        lost.size === incarnations.size && !this.wasServed(other),
    );
  }

  /** The losses of a suspect that count, over all entries. */
  private *lossesOf(suspect: string): Iterable<Loss> {
    for (const loss of this.tables.lossesOf(suspect))
      if (this.isCounted(loss)) yield loss;
  }

  private isCounted(loss: Loss): boolean {
    if (!this.isFresh(loss) || this.running.contradicts(loss)) return false;
    return !this.attributions.explain(loss);
  }

  private isFresh({atMs}: Loss): boolean {
    return this.options.clock.now() - atMs <= LOSS_RETENTION_MS;
  }

  private wasServed(suspect: string): boolean {
    if (this.ownServed.has(suspect) || this.alerts.isRefuted(suspect))
      return true;
    for (const suspects of this.othersServed.values()) {
      if (suspects.has(suspect)) return true;
    }
    return false;
  }
}

/** Adds what an entry has recorded of prompts; a few of them, at most. */
function putPrompts(table: LossTable, prompts: RecordedPrompt[] = []): void {
  for (const {request, parts} of prompts.slice(-MAX_PROMPTS)) {
    const digest = PromptDigest.decode(parts);
    if (digest !== undefined) table.putPrompt(request, digest);
  }
}

function toRecordedLoss(loss: Loss): RecordedLoss {
  const {suspect, incarnation, isSettled, part} = loss;
  return {request: suspect, life: incarnation, isSettled, part};
}
