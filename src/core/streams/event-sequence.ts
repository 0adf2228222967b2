/** Keeps the events of a stream in sequence across several targets. */

/** Result of checking an event. */
export enum SequenceCheck {
  /** The event is the next one. */
  PASS = 'pass',
  /** The caller has received the event already. */
  SKIP = 'skip',
  /** An event before it is missing, so the target's stream cannot be used. */
  GAP = 'gap',
}

/**
 * Checks events by their ids, which increase by one. The position of an event
 * without an id is unknown, so another target cannot resume the stream after
 * it.
 *
 * @example
 * const sequence = new EventSequence({lastId: 12});
 * sequence.check(13); // SequenceCheck.PASS
 */
export class EventSequence {
  private last?: number;
  private passedCount = 0;
  private hasEventWithoutId = false;

  constructor(options: {lastId?: number}) {
    this.last = options.lastId;
  }

  /** Id of the last event that the caller has received. */
  get lastId(): number | undefined {
    return this.last;
  }

  /** Number of events that passed the check. */
  get count(): number {
    return this.passedCount;
  }

  /** Whether another target can resume the stream. */
  get isResumable(): boolean {
    return !this.hasEventWithoutId;
  }

  check(id: number | undefined): SequenceCheck {
    if (id === undefined) {
      this.hasEventWithoutId = true;
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
    this.passedCount++;
    return SequenceCheck.PASS;
  }
}
