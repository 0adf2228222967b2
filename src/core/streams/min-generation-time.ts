/** The least time that a generation takes, as those before it took. */

/** Growth of a known minimum with each new sample, so that it is not final. */
const AGING = 1.01;

/** Samples before which nothing is held to be impossible. */
const MIN_SAMPLES = 5;

/** Part of the least time that must be missing before a caller is refused. */
const CAUTION = 0.8;

/** What is known of a generation when it arrives. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** Events that it has at most. */
  readonly maxEvents: number;
  /** Events that the caller has already. */
  readonly receivedEvents: number;
}

/** A generation that ended well. */
export interface GenerationSample {
  readonly promptTokens: number;
  readonly maxEvents: number;
  readonly events: number;
  /** From arrival to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** From the first event to the last, in milliseconds. */
  readonly streamingMs: number;
}

/**
 * Learns how fast the best generations of a service were. Serves the load
 * after a failure, when callers return with little time left: what cannot
 * be served in it is refused before an engine reads its prompt.
 *
 * @example
 * const times = new StreamTime();
 * times.learn(generation);
 * times.isHopeless({need, leftMs: 1_000});
 */
export class MinGenerationTime {
  private samples = 0;
  private msPerToken = Number.POSITIVE_INFINITY;
  private msPerEvent = Number.POSITIVE_INFINITY;
  /** Smallest share of the announced events that was written. */
  private eventShare = 1;

  addSample(times: GenerationSample): void {
    const {
      promptTokens,
      maxEvents,
      events,
      firstEventMs,
      streamingMs: writingMs,
    } = times;
    if (promptTokens <= 0 || maxEvents <= 0 || events <= 1) return;
    this.samples++;
    this.msPerToken = lower(this.msPerToken, firstEventMs / promptTokens);
    this.msPerEvent = lower(this.msPerEvent, writingMs / (events - 1));
    this.eventShare = lower(this.eventShare, events / maxEvents);
  }

  /** The least time for a generation, in milliseconds; 0 while unknown. */
  shortestMs(need: GenerationSize): number {
    if (this.samples < MIN_SAMPLES) return 0;
    const {promptTokens, maxEvents, receivedEvents: hasEvents} = need;
    const events = Math.max(0, maxEvents * this.eventShare - hasEvents);
    return promptTokens * this.msPerToken + events * this.msPerEvent;
  }

  /** Whether a generation cannot end in the time that is left. */
  cannotFinish(options: {need: GenerationSize; leftMs: number}): boolean {
    return options.leftMs < this.shortestMs(options.need) * CAUTION;
  }
}

function lower(known: number, sample: number): number {
  return Math.min(known * AGING, sample);
}
