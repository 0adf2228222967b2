/** A target with what this entry knows and expects of it. */
import type {Clock} from '../clock/index.js';
import {
  FAILURE_WEIGHT,
  FAILURES_BEFORE_PAUSE,
  MAX_REPORT_AGE_MS,
  LONGEST_PAUSE_MS,
  EVENT_GAP_GROWTH,
  EVENT_GAP_SAMPLES,
  PAUSE_AFTER_FAILURE_MS,
  PAUSE_AFTER_REJECT_MS,
} from './consts.js';
import type {TargetRecord} from './types.js';

/** The load that a target tells of. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Running requests whose prompts are being read; undefined if not told. */
  readonly prefilling?: number;
  /** Tokens in memory that cannot yield; undefined where it is not told. */
  readonly kvUsedTokens?: number;
  /** Start of the life that tells, as a Unix time in milliseconds. */
  readonly startedAtMs?: number;
}

/** Work that this entry gave to a target. */
export interface TargetWork {
  /** Tokens in the target's memory at the end of the work; 0 for a call. */
  readonly tokens: number;
  readonly startedAtMs: number;
  /** The prompt has not been read yet. */
  isPrefilling: boolean;
}

/**
 * One target, as this entry sees it.
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
  private readonly work = new Set<TargetWork>();
  private copyTokens = 0;
  private reported: ReportedLoad = {running: 0, waiting: 0};
  private reportedMs = Number.NEGATIVE_INFINITY;
  /** When the load was as reported. */
  private takenMs = Number.NEGATIVE_INFINITY;
  /** Own work that was under way when the report was taken. */
  private ownWhenReported = 0;
  private seenMs = Number.NEGATIVE_INFINITY;
  private lostMs?: number;
  private leftMs?: number;
  private pace?: number;
  private gapsMs = 0;
  private gapCount = 0;
  private failing = 0;
  private failures = 0;
  private pauses = 0;
  private pausedUntilMs = Number.NEGATIVE_INFINITY;
  private fullUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: {
    record: TargetRecord;
    clock: Clock;
    /** Told of each pause and of its length in milliseconds. */
    onPaused?: (target: Target, pauseMs: number) => void;
    /** The pace of an earlier life at the same address. */
    eventGapMs?: number;
  }) {
    this.pace = options.eventGapMs;
    this.record = options.record;
    this.clock = options.clock;
    this.onPaused = options.onPaused ?? (() => undefined);
  }

  get id(): string {
    return this.record.id;
  }

  /** Own requests under way. */
  get running(): number {
    return this.work.size;
  }

  /** Own requests whose prompts are still being read. */
  get prefilling(): number {
    let count = 0;
    for (const work of this.work) if (work.isPrefilling) count++;
    return count;
  }

  begin(options: {tokens: number}): TargetWork {
    const {tokens} = options;
    const work = {tokens, startedAtMs: this.clock.now(), isPrefilling: true};
    this.work.add(work);
    return work;
  }

  end(work: TargetWork): void {
    this.work.delete(work);
  }

  /** A copy of a run at another target takes memory here. */
  addKvCopy(tokens: number): void {
    this.copyTokens += tokens;
  }

  removeKvCopy(tokens: number): void {
    this.copyTokens = Math.max(0, this.copyTokens - tokens);
  }

  /** Takes over what the target said of its load, `lagMs` ago. */
  recordLoad(load: ReportedLoad, lagMs = 0): void {
    this.reported = load;
    this.reportedMs = this.clock.now();
    this.takenMs = this.reportedMs - lagMs;
    this.ownWhenReported = 0;
    for (const work of this.work) {
      if (work.startedAtMs <= this.takenMs) this.ownWhenReported++;
    }
    this.recordSeen();
  }

  /** The target has just shown that it is there. */
  recordSeen(): void {
    this.seenMs = this.clock.now();
    this.lostMs = undefined;
  }

  /** When the target was last seen, on the process's clock. */
  get lastSeenAtMs(): number {
    return this.seenMs;
  }

  /** Since when the target is not there; undefined if it is. */
  get unavailableSinceMs(): number | undefined {
    return this.lostMs;
  }

  /** Milliseconds since the target last showed that it is there. */
  lastSeenAgeMs(): number {
    return this.clock.now() - this.seenMs;
  }

  /** Milliseconds since the target last told of its load. */
  reportAgeMs(): number {
    return this.clock.now() - this.reportedMs;
  }

  /** Requests at the target from all entries, as far as is known. */
  estimatedRequests(): number {
    return this.othersRequests() + this.work.size;
  }

  /** Prompts that are read or wait to be, as far as is known. */
  estimatedPrefills(): number {
    if (this.reportAgeMs() > MAX_REPORT_AGE_MS) return this.prefilling;
    const {prefilling: reading = 0, waiting} = this.reported;
    let unread = reading + waiting;
    for (const work of this.work) {
      if (work.isPrefilling && work.startedAtMs > this.takenMs) unread++;
    }
    return unread;
  }

  /** Tokens in the target's memory, with those that own work will need. */
  plannedTokens(): number {
    const own = this.ownTokens();
    const {kvUsedTokens: memoryUsed} = this.reported;
    if (memoryUsed === undefined || this.reportAgeMs() > MAX_REPORT_AGE_MS) {
      return own;
    }
    return Math.max(own, memoryUsed + this.tokensBegunSinceReport());
  }

  /** Tokens that this entry's work and copies hold in the target's memory. */
  private ownTokens(): number {
    let tokens = this.copyTokens;
    for (const work of this.work) tokens += work.tokens;
    return tokens;
  }

  private othersRequests(): number {
    if (this.reportAgeMs() > MAX_REPORT_AGE_MS) return 0;
    const {running, waiting} = this.reported;
    return Math.max(0, running + waiting - this.ownWhenReported);
  }

  private tokensBegunSinceReport(): number {
    let tokens = 0;
    for (const work of this.work) {
      if (work.startedAtMs > this.takenMs) tokens += work.tokens;
    }
    return tokens;
  }

  /** Notes the time between two events of a stream, in milliseconds. */
  recordEventGap(gapMs: number): void {
    this.gapsMs += gapMs;
    this.gapCount++;
    if (this.gapCount < EVENT_GAP_SAMPLES) return;
    const meanMs = this.gapsMs / this.gapCount;
    this.gapsMs = 0;
    this.gapCount = 0;
    const agedMs = (this.pace ?? Number.POSITIVE_INFINITY) * EVENT_GAP_GROWTH;
    this.pace = Math.min(agedMs, meanMs);
  }

  /** Shortest mean time between events seen lately; undefined if unknown. */
  get eventGapMs(): number | undefined {
    return this.pace;
  }

  /** Notes whether an answer was a failure of the target's own. */
  recordResponse(isFailure: boolean): void {
    const sample = isFailure ? 1 : 0;
    this.failing += (sample - this.failing) * FAILURE_WEIGHT;
  }

  /** Share of recent answers that were failures. */
  get failureShare(): number {
    return this.failing;
  }

  recordSuccess(): void {
    this.recordSeen();
    this.failures = 0;
    this.pauses = 0;
    this.pausedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** The target did not answer, or not as it should. */
  recordFailure(): void {
    this.failures++;
    if (this.failures < FAILURES_BEFORE_PAUSE) return;
    this.pause();
  }

  /**
   * The target is not there: it takes no work for a while, which grows with
   * each time that it is still not there.
   */
  pause(): void {
    const pauseMs = PAUSE_AFTER_FAILURE_MS * 2 ** this.pauses;
    this.pauses++;
    this.pauseFor(Math.min(pauseMs, LONGEST_PAUSE_MS));
  }

  /** This life of the target is over; another will register itself. */
  recordIncarnationEnded(): void {
    this.pauseFor(LONGEST_PAUSE_MS);
  }

  /** The target had no room for a request. */
  recordRejected(): void {
    this.fullUntilMs = this.clock.now() + PAUSE_AFTER_REJECT_MS;
  }

  /** The target takes no new work: it leaves, or is gone. */
  recordDraining(): void {
    this.leftMs ??= this.clock.now();
    this.record = {...this.record, isDraining: true};
  }

  /** Milliseconds since the target was found to leave; undefined if not. */
  drainingForMs(): number | undefined {
    return this.leftMs === undefined
      ? undefined
      : this.clock.now() - this.leftMs;
  }

  isPaused(): boolean {
    return this.clock.now() < this.pausedUntilMs;
  }

  isFull(): boolean {
    return this.clock.now() < this.fullUntilMs;
  }

  private pauseFor(pauseMs: number): void {
    const untilMs = this.clock.now() + pauseMs;
    this.lostMs ??= this.clock.now();
    if (untilMs <= this.pausedUntilMs) return;
    this.pausedUntilMs = untilMs;
    this.onPaused(this, pauseMs);
  }
}
