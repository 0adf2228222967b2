/** A target with its reported and estimated load. */
import type {Clock} from '../clock/index.js';
import type {HeardLimit} from '../limits/index.js';
import {RecentCount} from '../limits/index.js';
import {AgeingEstimate} from './ageing-estimate.js';
import {
  FAILURE_WEIGHT,
  FAILURES_BEFORE_PAUSE,
  MAX_REPORT_AGE_MS,
  LONGEST_PAUSE_MS,
  MAX_BACKOFF_MS,
  PAUSE_AFTER_FAILURE_MS,
  FULL_AFTER_REJECT_MS,
  OTHERS_HALF_LIFE_MS,
  SLOWNESS_HALF_LIFE_MS,
} from './consts.js';
import {EventGap} from './event-gap.js';
import type {ReportedLoad, TargetRecord, TargetWork} from './types.js';

/**
 * One incarnation of a target: its registration, health and load as recorded
 * by this entry.
 *
 * @example
 * const target = new Target({record, clock});
 * const work = target.begin({tokens: 6_000});
 * target.end(work);
 */
export class Target {
  record: TargetRecord;
  private readonly clock: Clock;
  private readonly onPaused: (target: Target, pauseMs: number) => void;
  private readonly onLeaving: (target: Target) => void;
  private readonly work = new Set<TargetWork>();
  /** Tokens of KV cache copies that the target holds for other targets. */
  private kvCopyTokens = 0;
  private reported: ReportedLoad = {running: 0, waiting: 0};
  private reportReceivedAtMs = Number.NEGATIVE_INFINITY;
  /** Time at which the load was measured. */
  private reportTakenAtMs = Number.NEGATIVE_INFINITY;
  /** Own work in flight when the load was measured. */
  private ownInReport = 0;
  private seenAtMs = Number.NEGATIVE_INFINITY;
  /** Start of the first pause since the target was last seen. */
  private unavailableFromMs?: number;
  private drainingFromMs?: number;
  private hasToldLeaving = false;
  private backoffUntilMs = Number.NEGATIVE_INFINITY;
  private readonly eventGap: EventGap;
  private recentFailureShare = 0;
  private consecutiveFailures = 0;
  private consecutivePauses = 0;
  private pausedUntilMs = Number.NEGATIVE_INFINITY;
  private fullUntilMs = Number.NEGATIVE_INFINITY;
  private heardLimit: HeardLimit = {heardAtMs: Number.NEGATIVE_INFINITY};
  private readonly recentSends: RecentCount;
  private readonly ageingSlowness = new AgeingEstimate({
    usual: 1,
    halfLifeMs: SLOWNESS_HALF_LIFE_MS,
  });
  /** Requests of other entries, if the target tells its slowness. */
  private readonly ageingOthers = new AgeingEstimate({
    usual: 0,
    halfLifeMs: OTHERS_HALF_LIFE_MS,
  });

  constructor(options: {
    record: TargetRecord;
    clock: Clock;
    /** Called on each pause with its length in milliseconds. */
    onPaused?: (target: Target, pauseMs: number) => void;
    /** Called once when the target tells that it leaves. */
    onLeaving?: (target: Target) => void;
    /** Event gap of an earlier incarnation at the same address. */
    eventGapMs?: number;
  }) {
    this.eventGap = new EventGap(options.eventGapMs);
    this.record = options.record;
    this.clock = options.clock;
    this.recentSends = new RecentCount(options);
    this.onPaused = options.onPaused ?? (() => undefined);
    this.onLeaving = options.onLeaving ?? (() => undefined);
  }

  get id(): string {
    return this.record.id;
  }

  /** Number of this entry's requests in flight at the target. */
  get running(): number {
    return this.work.size;
  }

  /** Number of this entry's requests in prefill at the target. */
  get prefilling(): number {
    let count = 0;
    for (const work of this.work) if (work.isPrefilling) count++;
    return count;
  }

  /** Adds work that this entry sends to the target; `end` removes it. */
  begin(options: {tokens: number}): TargetWork {
    const {tokens} = options;
    const work = {tokens, startedAtMs: this.clock.now(), isPrefilling: true};
    this.work.add(work);
    this.recentSends.add();
    return work;
  }

  end(work: TargetWork): void {
    this.work.delete(work);
  }

  /** Adds the copy of a KV cache that the target holds for another target. */
  addKvCopy(tokens: number): void {
    this.kvCopyTokens += tokens;
  }

  removeKvCopy(tokens: number): void {
    this.kvCopyTokens = Math.max(0, this.kvCopyTokens - tokens);
  }

  /** Records a load report that was measured `lagMs` ago. */
  recordLoad(load: ReportedLoad, lagMs = 0): void {
    this.reported = load;
    this.reportReceivedAtMs = this.clock.now();
    this.reportTakenAtMs = this.reportReceivedAtMs - lagMs;
    this.ownInReport = 0;
    for (const work of this.work) {
      if (work.startedAtMs <= this.reportTakenAtMs) this.ownInReport++;
    }
    this.recordSeen();
    if (load.isLeaving === true) this.recordLeaving();
    const {limitPerSecond, slowness} = load;
    if (slowness !== undefined) {
      this.ageingSlowness.record(slowness);
      this.ageingOthers.record(this.othersRequests());
    }
    if (limitPerSecond !== undefined) this.recordLimit(limitPerSecond);
  }

  /**
   * Whether the last report, taken after `sinceMs`, shows that the target does
   * not hold a request: none is in prefill or waits, and it is not among those
   * that generate.
   */
  isMissingRequest(attemptId: string, sinceMs: number): boolean {
    const {generatingIds, prefilling, waiting} = this.reported ?? {};
    if (generatingIds === undefined || this.reportTakenAtMs < sinceMs)
      return false;
    const isOther = prefilling === 0 && waiting === 0;
    return isOther && !generatingIds.includes(attemptId);
  }

  /** Records that a message or response of the target has arrived. */
  recordSeen(): void {
    this.seenAtMs = this.clock.now();
    this.unavailableFromMs = undefined;
  }

  /** Time at which the target was last seen, on the process's clock. */
  get lastSeenAtMs(): number {
    return this.seenAtMs;
  }

  /**
   * Time since which the target is unavailable; undefined if it is available.
   */
  get unavailableSinceMs(): number | undefined {
    return this.unavailableFromMs;
  }

  /** Milliseconds since the target was last seen. */
  lastSeenAgeMs(): number {
    return this.clock.now() - this.seenAtMs;
  }

  /** Milliseconds since the last load report arrived. */
  reportAgeMs(): number {
    return this.clock.now() - this.reportReceivedAtMs;
  }

  /** Requests that the target can run at once. */
  get slots(): number {
    return this.reported.slots ?? this.record.slots;
  }

  /** Whether the last report told how long work takes there. */
  get tellsSlowness(): boolean {
    return this.reported.slowness !== undefined;
  }

  /** Time that work takes there now, relative to the usual; 1 if not told. */
  get slowness(): number {
    return this.ageingSlowness.at(this.reportAgeMs());
  }

  /**
   * Estimated number of short requests at the target from all entries. Unlike
   * `estimatedRequests` it lets the report of a target that tells its slowness
   * age, since most of the requests in it have ended soon after.
   */
  expectedRequests(): number {
    if (!this.tellsSlowness) return this.estimatedRequests();
    return this.ageingOthers.at(this.reportAgeMs()) + this.work.size;
  }

  /** Estimated number of requests at the target from all entries. */
  estimatedRequests(): number {
    return this.othersRequests() + this.work.size;
  }

  /** Estimated number of prompts in prefill or waiting for it. */
  estimatedPrefills(): number {
    if (this.reportAgeMs() > MAX_REPORT_AGE_MS) return this.prefilling;
    const {prefilling = 0, waiting} = this.reported;
    let prefills = prefilling + waiting;
    for (const work of this.work) {
      if (work.isPrefilling && work.startedAtMs > this.reportTakenAtMs)
        prefills++;
    }
    return prefills;
  }

  /** Tokens in the KV cache, with those that this entry's work will need. */
  plannedTokens(): number {
    const own = this.ownTokens();
    const {kvUsedTokens} = this.reported;
    if (kvUsedTokens === undefined || this.reportAgeMs() > MAX_REPORT_AGE_MS) {
      return own;
    }
    return Math.max(own, kvUsedTokens + this.tokensStartedSinceReport());
  }

  /** Tokens that this entry's work and copies hold in the KV cache. */
  private ownTokens(): number {
    let tokens = this.kvCopyTokens;
    for (const work of this.work) tokens += work.tokens;
    return tokens;
  }

  private othersRequests(): number {
    if (this.reportAgeMs() > MAX_REPORT_AGE_MS) return 0;
    const {running, waiting} = this.reported;
    return Math.max(0, running + waiting - this.ownInReport);
  }

  private tokensStartedSinceReport(): number {
    let tokens = 0;
    for (const work of this.work) {
      if (work.startedAtMs > this.reportTakenAtMs) tokens += work.tokens;
    }
    return tokens;
  }

  /** Records the time between two events of a stream, in milliseconds. */
  recordEventGap(gapMs: number): void {
    this.eventGap.record(gapMs);
  }

  /** Shortest recent mean time between events; undefined if unknown. */
  get eventGapMs(): number | undefined {
    return this.eventGap.shortestMs;
  }

  /** Records whether a response was a failure of the target. */
  recordResponse(isFailure: boolean): void {
    const sample = isFailure ? 1 : 0;
    this.recentFailureShare +=
      (sample - this.recentFailureShare) * FAILURE_WEIGHT;
  }

  /** Share of recent responses that were failures. */
  get failureShare(): number {
    return this.recentFailureShare;
  }

  /** Records a valid response, which ends a pause. */
  recordSuccess(): void {
    this.recordSeen();
    this.consecutiveFailures = 0;
    this.consecutivePauses = 0;
    this.pausedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that the target did not respond or that its response was invalid;
   * pauses the target after `FAILURES_BEFORE_PAUSE` consecutive failures.
   */
  recordFailure(): void {
    this.consecutiveFailures++;
    if (this.consecutiveFailures < FAILURES_BEFORE_PAUSE) return;
    this.pause();
  }

  /**
   * Pauses the target because it does not respond. Each further pause is twice
   * as long until it responds.
   */
  pause(): void {
    const pauseMs = PAUSE_AFTER_FAILURE_MS * 2 ** this.consecutivePauses;
    this.consecutivePauses++;
    this.pauseFor(Math.min(pauseMs, LONGEST_PAUSE_MS));
  }

  /**
   * Records that this incarnation ended, and pauses it for the longest time; a
   * new incarnation registers itself.
   */
  recordIncarnationEnded(): void {
    this.pauseFor(LONGEST_PAUSE_MS);
  }

  /** Records that the target rejected a request for lack of capacity. */
  recordRejected(): void {
    this.fullUntilMs = this.clock.now() + FULL_AFTER_REJECT_MS;
  }

  /**
   * Records that the target takes no new work: it is draining or was removed.
   */
  recordDraining(): void {
    this.drainingFromMs ??= this.clock.now();
    this.record = {...this.record, isDraining: true};
  }

  /** Records that the target wants no work from this entry for a time. */
  recordBackoff(backoffMs: number): void {
    const boundedMs = Math.min(backoffMs, MAX_BACKOFF_MS);
    const untilMs = this.clock.now() + boundedMs;
    this.backoffUntilMs = Math.max(this.backoffUntilMs, untilMs);
  }

  /** Time for which the target wants no work, in milliseconds; 0 if it does. */
  backoffLeftMs(): number {
    return Math.max(0, this.backoffUntilMs - this.clock.now());
  }

  /**
   * Records the requests a second that the target takes from all entries
   * together; undefined if it names no limit.
   */
  recordLimit(perSecond: number | undefined): void {
    this.heardLimit = {perSecond, heardAtMs: this.clock.now()};
  }

  /** Records what another entry heard, unless this one heard it later. */
  hearLimit(limit: HeardLimit): void {
    if (limit.heardAtMs > this.heardLimit.heardAtMs) this.heardLimit = limit;
  }

  /** The limit and when it was heard. */
  get limit(): HeardLimit {
    return this.heardLimit;
  }

  /** The limit that the target names; undefined if it names none. */
  get limitPerSecond(): number | undefined {
    return this.heardLimit.perSecond;
  }

  /** Requests of this entry in the last `LIMIT_WINDOW_MS`. */
  recentlySent(): number {
    return this.recentSends.count();
  }

  /**
   * Records that the target tells that it leaves. This holds for its incarnation,
   * whatever its registration says.
   */
  recordLeaving(): void {
    if (this.hasToldLeaving) return;
    this.hasToldLeaving = true;
    this.recordDraining();
    this.onLeaving(this);
  }

  /** Replaces the registration of this incarnation. */
  updateRecord(record: TargetRecord): void {
    this.record = this.hasToldLeaving ? {...record, isDraining: true} : record;
  }

  /** Milliseconds since `recordDraining`; undefined before it. */
  drainingForMs(): number | undefined {
    return this.drainingFromMs === undefined
      ? undefined
      : this.clock.now() - this.drainingFromMs;
  }

  /** Whether the target should get no work, because it does not respond. */
  isPaused(): boolean {
    return this.clock.now() < this.pausedUntilMs;
  }

  /** Whether the target rejected a request within `FULL_AFTER_REJECT_MS`. */
  isFull(): boolean {
    return this.clock.now() < this.fullUntilMs;
  }

  private pauseFor(pauseMs: number): void {
    const untilMs = this.clock.now() + pauseMs;
    this.unavailableFromMs ??= this.clock.now();
    if (untilMs <= this.pausedUntilMs) return;
    this.pausedUntilMs = untilMs;
    this.onPaused(this, pauseMs);
  }
}
