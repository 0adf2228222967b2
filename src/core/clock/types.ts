/** A pending timer. */
export interface TimerHandle {
  /** Stops the timer; does nothing once it has fired. */
  cancel(): void;
}

/** A monotonic clock with timers, in milliseconds. */
export interface Clock {
  /** Milliseconds on a clock that never goes backwards. */
  now(): number;
  /**
   * Milliseconds since the Unix epoch, for times shared with other processes.
   */
  wallNow(): number;
  /** Runs `run` once after `delayMs`. */
  schedule(options: {delayMs: number; run: () => void}): TimerHandle;
  /** Runs `run` every `periodMs` until cancelled. */
  repeat(options: {periodMs: number; run: () => void}): TimerHandle;
}

/** A source of random numbers and ids. */
export interface RandomSource {
  /** A float in [0, 1). */
  float(): number;
  /** An integer in [0, bound). */
  below(bound: number): number;
  /** An id of 16 lower-case hexadecimal characters. */
  id(): string;
}
