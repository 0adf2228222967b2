/** One entry's view of one roll-out, and what follows from it. */
import type {Clock} from '../clock/index.js';
import {
  MAX_EVIDENCE_AGE_MS,
  MAX_SLACK_AGE_MS,
  MAX_UNINFORMED_MS,
  STALE_EVIDENCE_PART,
  STATUS_TURN_MS,
  WAY_BACK_WAIT_MS,
} from './consts.js';
import {
  currentState,
  decideStatus,
  isOver,
  writerRank,
} from './decide-status.js';
import {decideStep, isWithinBound, shareOf} from './decide-step.js';
import {Evidence, mergeCells} from './evidence.js';
import {EvidenceHistory} from './evidence-history.js';
import {ExposureBudget} from './exposure-budget.js';
import {HeardRows} from './heard-rows.js';
import {judgeVersion} from './judge-version.js';
import {silenceMs} from './silence.js';
import {slackShare} from './slack-share.js';
import type {
  EvidenceRow,
  RolloutEnd,
  RolloutRecord,
  RolloutSettings,
  BadReason,
} from './types.js';
import {PriorUse, RolloutState, RolloutStep} from './types.js';

/** Which versions the registered targets of a service have. */
export interface SeenVersions {
  /** Targets of the version of the order. */
  readonly targets: number;
  /** Whether there was a target of another version since the order. */
  readonly hasOthers: boolean;
}

/** Which versions may get a request now. */
export interface AllowedVersions {
  readonly old: boolean;
  readonly new: boolean;
}

/**
 * Follows one order at one entry. All entries decide alone, from their own
 * outcomes and what the others tell; what one of them finds bad is bad for all.
 *
 * @example
 * const controller = new RolloutController({record, vm, settings, clock});
 * controller.hear(row);
 * controller.update({newTargets: 3});
 * controller.allowed().new;
 */
export class RolloutController {
  readonly evidence = new Evidence();
  readonly budget: ExposureBudget;
  private readonly history = new EvidenceHistory();
  private readonly rows: HeardRows;
  /** Silence after which an entry no longer counts as live. */
  private readonly silenceMs: number;
  private current: RolloutRecord;
  private nowStep = RolloutStep.CANARY;
  private stepSinceMs: number;
  private readonly startedMs: number;
  /** Age of the order when this entry first knew it. */
  private ageAtStartMs = 0;
  private badReason?: BadReason;
  private evidenceAtMs: number;
  /** Since when the others' rows have been read without a break. */
  private readSince: number;
  private hasReadRows = false;
  /** Whether an earlier process of this VM has known the order. */
  private isRestarted = false;
  private due?: {readonly state: RolloutState; readonly sinceMs: number};
  private ticks = 0;
  private readonly barredVersions: Set<string>;
  private seen?: SeenVersions;
  private isInUse = false;
  /** Whether the order turns back one that was running. */
  private isWayBack: boolean;
  /** Whether any entry has had answers of another version since the order. */
  private hasOldAnswers = false;

  constructor(
    private readonly options: {
      record: RolloutRecord;
      /** VM of this entry. */
      vm: string;
      settings: RolloutSettings;
      /** VMs of all entries; undefined while they are not known. */
      entries?: () => readonly string[] | undefined;
      /** Versions that earlier orders of the service have found bad. */
      barred?: ReadonlySet<string>;
      /** What the version was to the service; unknown by default. */
      priorUse?: PriorUse;
      /** Whether a running order was about to replace the version. */
      isWayBack?: boolean;
      clock: Clock;
    },
  ) {
    const {record, settings, clock, barred = []} = options;
    this.isWayBack = options.isWayBack === true;
    this.barredVersions = new Set(barred);
    this.current = record;
    this.budget = new ExposureBudget({share: settings.exposureShare});
    this.silenceMs = silenceMs(record);
    this.rows = new HeardRows({clock, silenceMs: this.silenceMs});
    this.startedMs = clock.now();
    this.stepSinceMs = this.startedMs;
    this.evidenceAtMs = this.startedMs;
    this.readSince = this.startedMs;
  }

  get record(): RolloutRecord {
    return this.current;
  }

  get step(): RolloutStep {
    return this.nowStep;
  }

  /** Why the version is bad; undefined if nothing speaks against it. */
  get bad(): BadReason | undefined {
    return this.badReason;
  }

  /** State as the status or a verdict tells it; undefined while it runs. */
  get end(): RolloutEnd | undefined {
    const state = currentState(this.current);
    if (isOver(state)) return state;
    if (this.badReason !== undefined) return RolloutState.ROLLED_BACK;
    return this.isInUse ? RolloutState.COMPLETED : undefined;
  }

  /** Whether the status says that the order has ended. */
  get isOver(): boolean {
    return isOver(currentState(this.current));
  }

  /**
   * Replaces the stored record of the same order unless it is an older one.
   * Revisions go back when the store is restored from a copy.
   */
  updateRecord(record: RolloutRecord, {isRestored = false} = {}): void {
    const isNewer = record.revision >= this.current.revision;
    if (isNewer || isRestored) this.current = record;
  }

  /** Records what another entry tells; rows of other orders are ignored. */
  hear(row: EvidenceRow): void {
    const {record, vm, clock, priorUse = PriorUse.UNKNOWN} = this.options;
    const isOther = row.order !== record.id || row.service !== record.service;
    if (isOther) return;
    const ownAgeMs = clock.now() - this.startedMs;
    // Also of an earlier process of this VM.
    if (row.bad !== undefined) this.badReason ??= row.bad;
    this.hasOldAnswers ||= row.cells.some(({isNew}) => !isNew);
    // An entry that has missed an order does not know that it is turned back.
    const tellsWayBack = row.isWayBack === true && priorUse !== PriorUse.OTHERS;
    this.isWayBack ||= tellsWayBack;
    // Who knows what the versions were to the service knows better.
    if (priorUse === PriorUse.UNKNOWN || tellsWayBack) {
      for (const version of row.barred ?? [])
        if (version !== record.target) this.barredVersions.add(version);
    }
    this.ageAtStartMs = Math.max(this.ageAtStartMs, row.ageMs - ownAgeMs);
    if (row.vm === vm && !this.hasReadRows) this.isRestarted = true;
    if (row.vm !== vm) this.rows.hear(row);
  }

  /** Whether the rows of the others were read, also those from before. */
  get hasRead(): boolean {
    return this.hasReadRows;
  }

  /** Versions that get nothing, as any entry knows them from earlier orders. */
  get barred(): ReadonlySet<string> {
    return this.barredVersions;
  }

  /**
   * Whether this process knows neither the service nor the rows, so that it
   * cannot tell a version that was rolled back from one in use.
   */
  get isUninformed(): boolean {
    const {clock, priorUse = PriorUse.UNKNOWN} = this.options;
    // Rows that cannot be read must not keep sound targets from work.
    const isNew = clock.now() - this.startedMs < MAX_UNINFORMED_MS;
    return priorUse === PriorUse.UNKNOWN && !this.hasReadRows && isNew;
  }

  /** Forgets an entry that has left. */
  forget(vm: string): void {
    this.rows.forget(vm);
  }

  /** Records that the others' rows were complete at a time. */
  recordRead(atMs: number): void {
    const isFirst = !this.hasReadRows;
    if (isFirst) this.budget.setSlack(this.ownSlack());
    this.hasReadRows = true;
    // Rows of the first read may be those of processes that have ended since.
    if (isFirst || !this.hasRecentRows)
      this.readSince = this.options.clock.now();
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
    this.checkInUse();
  }

  /**
   * Records the versions of the service; returns whether they show that the
   * version of the order is in use already, so that there is nothing to move.
   */
  observe(seen: SeenVersions): boolean {
    this.seen = seen;
    return !this.isOver && this.checkInUse();
  }

  /** Returns whether it has just been found out. */
  private checkInUse(): boolean {
    const {seen} = this;
    const {priorUse = PriorUse.UNKNOWN} = this.options;
    if (this.isInUse || seen === undefined) return false;
    if (seen.hasOthers || seen.targets === 0) return false;
    if (priorUse === PriorUse.OTHERS) return false;
    const isDoubtful =
      this.badReason !== undefined || this.barredVersions.size > 0;
    const wasUsed = priorUse === PriorUse.USED || this.isWayBack;
    if (isDoubtful && !wasUsed) return false;
    // A process that starts late sees no targets that were lost before.
    const isKnown = this.hasReadRows && !this.hasOldAnswers;
    this.isInUse = wasUsed || isKnown;
    return this.isInUse;
  }

  /** Judges the version and decides on the step; returns whether it changed. */
  update({newTargets}: {newTargets: number}): boolean {
    if (this.end !== undefined) return false;
    const {clock} = this.options;
    const cells = this.allCells();
    const windows = this.history.update(cells, clock.now());
    this.badReason = judgeVersion({sinceOrder: cells, windows});
    if (this.badReason !== undefined) return true;
    const {evidenceAgeMs} = this;
    const decided = decideStep({
      step: this.nowStep,
      stepMs: this.stepMs,
      ageMs: this.ageMs,
      durationMs: this.current.durationMs,
      answers: cells.reduce((n, c) => n + (c.isNew ? c.answers : 0), 0),
      evidenceAgeMs,
      newTargets,
    });
    const mayFollow = evidenceAgeMs <= MAX_EVIDENCE_AGE_MS && newTargets > 0;
    const next: RolloutStep = mayFollow
      ? Math.max(decided, this.stepOfOthers())
      : decided;
    if (next === this.nowStep) return false;
    this.nowStep = next;
    this.stepSinceMs = clock.now();
    this.budget.beginStep();
    return true;
  }

  /** Which versions may get a request now. */
  allowed(): AllowedVersions {
    if (this.end === RolloutState.COMPLETED) return {old: false, new: true};
    if (this.end === RolloutState.ROLLED_BACK) return {old: true, new: false};
    if (this.hasStaleEvidence) return {old: true, new: false};
    if (this.nowStep === RolloutStep.FULL) return {old: false, new: true};
    const isBelow = this.budget.isBelow(this.share);
    return {old: true, new: isBelow && this.maySendToNew()};
  }

  /** Whether a request may be sent to the new version whatever chose it. */
  maySendToNew(): boolean {
    if (this.end !== undefined) return this.end === RolloutState.COMPLETED;
    // Until then it may have been found bad before this process began.
    if (!this.hasReadRows || this.hasStaleEvidence) return false;
    return !isWithinBound(this.nowStep) || this.budget.maySend();
  }

  /** Share of the traffic that the new version gets now. */
  get share(): number {
    return shareOf(this.nowStep, this.options.settings.exposureShare);
  }

  /** What this entry tells the others now. */
  row(oldOpen: number): EvidenceRow {
    const {vm} = this.options;
    // With old evidence requests go to old targets again at any moment.
    const leastOpen = this.hasStaleEvidence ? 1 : 0;
    return {
      service: this.current.service,
      order: this.current.id,
      vm,
      tick: ++this.ticks,
      ageMs: Math.round(this.ageMs),
      step: this.nowStep,
      bad: this.badReason,
      oldOpen: Math.max(oldOpen, leastOpen),
      barred: this.barred.size > 0 ? [...this.barred] : undefined,
      isWayBack: this.isWayBack || undefined,
      cells: this.evidence.list(),
    };
  }

  /** The state that this entry should write; undefined for none. */
  stateToWrite(oldOpen: number): RolloutState | undefined {
    const {vm, clock} = this.options;
    const others = this.rows.live();
    const state = decideStatus({
      record: this.current,
      isBad: this.end === RolloutState.ROLLED_BACK,
      isInUse: this.isInUse,
      isWayBack: this.isWayBack,
      ageMs: this.ageMs,
      step: this.nowStep,
      stepMs: this.stepMs,
      oldOpen,
      knowsOthers: this.knowsOthers,
      others,
    });
    if (state === undefined) {
      this.due = undefined;
      return undefined;
    }
    if (this.due?.state !== state) this.due = {state, sinceMs: clock.now()};
    const live = others.map((row) => row.vm);
    const rank = writerRank({order: this.current.id, vm, live});
    const dueForMs = clock.now() - this.due.sinceMs;
    return dueForMs >= rank * STATUS_TURN_MS ? state : undefined;
  }

  /** Whether the others may have found the version bad in time for a stop. */
  get hasStaleEvidence(): boolean {
    const {rollbackMs} = this.options.settings;
    return this.evidenceAgeMs > rollbackMs * STALE_EVIDENCE_PART;
  }

  /** Time since which the others' rows are read without a break. */
  get readSinceMs(): number {
    return this.readSince;
  }

  /** Entries whose rows are too old to judge by. */
  get silentEntries(): string[] {
    return this.rows.silent();
  }

  /** Age of the newest complete read of the others' rows. */
  get evidenceAgeMs(): number {
    return this.options.clock.now() - this.evidenceAtMs;
  }

  private get hasRecentRows(): boolean {
    return this.evidenceAgeMs <= MAX_EVIDENCE_AGE_MS;
  }

  /** Whether each entry that lives has been heard by now. */
  private get knowsOthers(): boolean {
    if (!this.hasRecentRows || this.hasStaleEvidence) return false;
    const {vm, entries, clock} = this.options;
    // Until then entries may not have read an order that turns another back.
    const waitMs = this.isWayBack ? WAY_BACK_WAIT_MS : this.silenceMs;
    if (clock.now() - this.readSince >= waitMs) return true;
    // After a break it need not wait for those that are there.
    const others = entries?.()?.filter((other) => other !== vm);
    if (others === undefined) return false;
    return this.rows.haveAllTold(others, this.readSince);
  }

  /** Part of the slack of this entry, which it has only once for an order. */
  private ownSlack(): number {
    if (this.isRestarted || this.ageMs > MAX_SLACK_AGE_MS) return 0;
    const {vm, settings, entries} = this.options;
    return slackShare({
      slack: settings.exposureSlack,
      vm,
      entries: entries?.(),
      order: this.current.id,
    });
  }

  /** The furthest step of the live entries, which have the same evidence. */
  private stepOfOthers(): RolloutStep {
    return Math.max(0, ...this.rows.live().map(({step}) => step));
  }

  /** Time for which any entry has known the order, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.now() - this.startedMs + this.ageAtStartMs;
  }

  private get stepMs(): number {
    return this.options.clock.now() - this.stepSinceMs;
  }

  private allCells() {
    return mergeCells([this.evidence.list(), ...this.rows.cells()]);
  }
}
