/** Keeps a stream whole across the targets that write it. */

/** What to do with an event. */
export enum SequenceCheck {
  /** It is the next one. */
  PASS = 'pass',
  /** The caller has it already. */
  SKIP = 'skip',
  /** One before it is missing: the target's stream cannot be used. */
  GAP = 'gap',
}

/**
 * Judges events by their ids, which rise by one. An event without an id
 * cannot be placed, so nothing can follow a change of targets after it.
 *
 * @example
 * const sequence = new EventSequence({lastId: 12});
 * sequence.judge(13); // EventVerdict.PASS
 */
export class EventSequence {
  private last?: number;
  private passed = 0;
  private hasUnnumbered = false;

  constructor(options: {lastId?: number}) {
    this.last = options.lastId;
  }

  /** Id of the last event that the caller has. */
  get lastId(): number | undefined {
    return this.last;
  }

  /** Events passed on since the start. */
  get count(): number {
    return this.passed;
  }

  /** Whether another target could continue the stream. */
  get isResumable(): boolean {
    return !this.hasUnnumbered;
  }

  check(id: number | undefined): SequenceCheck {
    if (id === undefined) {
      this.hasUnnumbered = true;
      return this.pass();
    }
    if (this.last !== undefined) {
      if (id <= this.last) return SequenceCheck.SKIP;
      if (id > this.last + 1) return SequenceCheck.GAP;
    }
    this.last = id;
    return this.pass();
  }

  private pass(): SequenceCheck {
    this.passed++;
    return SequenceCheck.PASS;
  }
}
