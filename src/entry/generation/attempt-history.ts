/** What became of the attempts on one answer. */
import type {QuarantineRecord} from '../../core/poison/index.js';
import {MAX_ATTEMPTS_WITHOUT_PROGRESS} from '../consts.js';
import {SUSPECT_SHARING_DELAY_MS} from './consts.js';

/** Remembers where attempts were lost and refused, and in which crashes. */
export class AttemptHistory {
  /** Targets on which attempts were lost. */
  readonly lostOn: string[] = [];
  /** Targets that refused since the last token or wait. */
  refusedBy: string[] = [];
  /** Engine crashes whose cause is not known yet. */
  crashes: string[] = [];
  /** Whether an attempt was admitted and then lost. */
  hasLostAttempt = false;
  private fruitlessCount = 0;
  private conflictSinceMs: number | undefined;

  constructor(private readonly options: {now: () => number}) {}

  /** Attempts in a row that brought no token. */
  get attemptsWithoutProgress(): number {
    return this.fruitlessCount;
  }

  /** Too many attempts in a row brought no token. */
  isAttemptLimitReached(): boolean {
    return this.fruitlessCount >= MAX_ATTEMPTS_WITHOUT_PROGRESS;
  }

  recordLoss(vm: string | undefined): void {
    this.fruitlessCount++;
    this.hasLostAttempt = true;
    if (vm !== undefined) this.lostOn.push(vm);
  }

  recordRefusal(vm: string | undefined): void {
    if (vm !== undefined) this.refusedBy.push(vm);
    if (this.crashes.length === 0) return;
    this.conflictSinceMs ??= this.options.now();
  }

  recordProgress(): void {
    this.fruitlessCount = 0;
    this.refusedBy = [];
  }

  recordCrash(id: string | undefined): void {
    if (id !== undefined) this.crashes.push(id);
  }

  /** The cause of some crashes is known: it is another request. */
  removeExplainedCrashes(culprit: QuarantineRecord): void {
    this.crashes = this.crashes.filter((id) => !culprit.crashes.includes(id));
  }

  /** Whether no target without fellow suspects was found for long enough. */
  mayShare(): boolean {
    if (this.conflictSinceMs === undefined) return false;
    return (
      this.options.now() - this.conflictSinceMs >= SUSPECT_SHARING_DELAY_MS
    );
  }
}
