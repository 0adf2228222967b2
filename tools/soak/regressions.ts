/** Seeds that failed once; CI runs them as regression tests. */

/** A seed and the fault that it revealed. */
export interface Regression {
  readonly seed: number;
  readonly durationMs: number;
  /** The fault that made the seed fail. */
  readonly cause: string;
  /** Whether entries were signalled while they started; false by default. */
  readonly hasStartFaults?: boolean;
  /** Whether crowds played and targets responded early; false by default. */
  readonly hasWireFaults?: boolean;
}

/** All seeds that ever failed, oldest first. */
export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 100,
    durationMs: 20_000,
    cause: 'the soak registered new targets without their service',
  },
  {
    seed: 203,
    durationMs: 20_000,
    cause:
      'SIGTERM ended an entry that was starting and had no signal handler yet',
  },
  {
    seed: 207,
    durationMs: 20_000,
    cause: 'a request that arrived late and was dropped was counted as a run',
  },
  {
    seed: 2001,
    durationMs: 20_000,
    cause:
      'equal requests running at one lost engine were classified as poison',
  },
  {
    seed: 2006,
    durationMs: 20_000,
    cause: 'an entry that started while its settings were half written exited',
  },
  {
    seed: 5011,
    durationMs: 20_000,
    cause: 'the relay forwarded a reset as a clean end of an unframed response',
  },
  {
    seed: 7212,
    durationMs: 20_000,
    cause: 'the stand-in store exited when a write to it was interrupted',
  },
];
