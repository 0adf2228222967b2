/** Estimates the shortest possible time of a generation. */

/**
 * Factor by which a minimum grows with each new sample, so that it rises when
 * generations become slower.
 */
const MIN_GROWTH_FACTOR = 1.01;

/** Number of samples before which no generation is refused. */
const MIN_SAMPLES = 5;

/**
 * Share of the estimated shortest time; a generation is refused if less than
 * this remains. Below 1, since the estimate may be too high.
 */
const REFUSAL_FACTOR = 0.8;

/** Work that a requested generation needs, as known on its arrival. */
export interface GenerationNeed {
  readonly promptTokens: number;
  /** Maximum number of events. */
  readonly maxEvents: number;
  /** Number of events that the caller has received already. */
  readonly receivedEvents: number;
}

/** Measured times of a successful generation. */
export interface GenerationSample {
  readonly promptTokens: number;
  /** Maximum number of events. */
  readonly maxEvents: number;
  /** Number of events that the target sent. */
  readonly events: number;
  /** Time from arrival to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Time from the first event to the last, in milliseconds. */
  readonly streamingMs: number;
}

/**
 * Estimates the shortest time of a generation from the fastest ones of its
 * service. After a failure, callers retry with little time left; a generation
 * that cannot finish in that time is refused before an engine spends a prefill
 * on it.
 *
 * @example
 * const times = new MinGenerationTime();
 * times.addSample(generation);
 * times.cannotFinish({need, leftMs: 1_000});
 */
export class MinGenerationTime {
  private samples = 0;
  private msPerToken = Number.POSITIVE_INFINITY;
  private msPerEvent = Number.POSITIVE_INFINITY;
  /** Smallest recent ratio of events sent to the maximum number of events. */
  private eventShare = 1;

  addSample(sample: GenerationSample): void {
    const {promptTokens, maxEvents, events, firstEventMs, streamingMs} = sample;
    if (promptTokens <= 0 || maxEvents <= 0 || events <= 1) return;
    this.samples++;
    this.msPerToken = updateMin(this.msPerToken, firstEventMs / promptTokens);
    this.msPerEvent = updateMin(this.msPerEvent, streamingMs / (events - 1));
    this.eventShare = updateMin(this.eventShare, events / maxEvents);
  }

  /** Estimated shortest time, in milliseconds; 0 before enough samples. */
  shortestMs(need: GenerationNeed): number {
    if (this.samples < MIN_SAMPLES) return 0;
    const {promptTokens, maxEvents, receivedEvents} = need;
    const events = Math.max(0, maxEvents * this.eventShare - receivedEvents);
    return promptTokens * this.msPerToken + events * this.msPerEvent;
  }

  /** Shortest time to the first event, in ms; 0 before enough samples. */
  firstEventMs({promptTokens}: GenerationNeed): number {
    return this.samples < MIN_SAMPLES ? 0 : promptTokens * this.msPerToken;
  }

  /** Time below which a generation is refused, in milliseconds. */
  leastMs(need: GenerationNeed): number {
    return this.shortestMs(need) * REFUSAL_FACTOR;
  }

  /** Whether a generation cannot finish in the remaining time, `leftMs`. */
  cannotFinish(options: {need: GenerationNeed; leftMs: number}): boolean {
    return options.leftMs < this.leastMs(options.need);
  }
}

function updateMin(minimum: number, sample: number): number {
  return Math.min(minimum * MIN_GROWTH_FACTOR, sample);
}
