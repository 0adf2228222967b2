/** Outcomes of the attempts of one generation. */
import type {QuarantineRecord} from '../../core/poison/index.js';
import {MAX_ATTEMPTS_WITHOUT_PROGRESS} from '../consts.js';
import {SUSPECT_SHARING_DELAY_MS} from './consts.js';

/** Records which targets lost or refused attempts, and the engine crashes. */
export class AttemptHistory {
  /** Targets on which attempts were lost. */
  readonly lostOn: string[] = [];
  /** Targets that refused since the last token or wait. */
  refusedBy: string[] = [];
  /** IDs of engine crashes that ended an attempt, with no known cause yet. */
  crashes: string[] = [];
  /** Whether an attempt was admitted and then lost. */
  hasLostAttempt = false;
  private withoutProgressCount = 0;
  /** When an attempt was first refused after a crash; undefined if never. */
  private refusedAsSuspectSinceMs: number | undefined;

  constructor(private readonly options: {now: () => number}) {}

  /** Consecutive attempts that produced no token. */
  get attemptsWithoutProgress(): number {
    return this.withoutProgressCount;
  }

  /** Whether too many consecutive attempts produced no token. */
  isAttemptLimitReached(): boolean {
    return this.withoutProgressCount >= MAX_ATTEMPTS_WITHOUT_PROGRESS;
  }

  recordLoss(vm: string | undefined): void {
    this.withoutProgressCount++;
    this.hasLostAttempt = true;
    if (vm !== undefined) this.lostOn.push(vm);
  }

  recordRefusal(vm: string | undefined): void {
    if (vm !== undefined) this.refusedBy.push(vm);
    if (this.crashes.length === 0) return;
    this.refusedAsSuspectSinceMs ??= this.options.now();
  }

  recordProgress(): void {
    this.withoutProgressCount = 0;
    this.refusedBy = [];
  }

  recordCrash(id: string | undefined): void {
    if (id !== undefined) this.crashes.push(id);
  }

  /** Removes the crashes that another, quarantined request caused. */
  removeExplainedCrashes(record: QuarantineRecord): void {
    this.crashes = this.crashes.filter((id) => !record.crashes.includes(id));
  }

  /**
   * Whether the next attempt may run beside another request involved in the
   * same crash: its first refusal after a crash is at least
   * `SUSPECT_SHARING_DELAY_MS` ago.
   */
  mayShare(): boolean {
    if (this.refusedAsSuspectSinceMs === undefined) return false;
    return (
      this.options.now() - this.refusedAsSuspectSinceMs >=
      SUSPECT_SHARING_DELAY_MS
    );
  }
}
