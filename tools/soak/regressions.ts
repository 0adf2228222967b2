/** Seeds that once failed; CI plays them again. */

/** A seed with what it showed. */
export interface Regression {
  readonly seed: number;
  readonly durationMs: number;
  /** What was wrong when the seed failed. */
  readonly cause: string;
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
    cause: 'a stop of an entry that was still starting ended it by the signal',
  },
  {
    seed: 207,
    durationMs: 20_000,
    cause: 'a request that arrived late and was dropped was taken for a run',
  },
  {
    seed: 2001,
    durationMs: 20_000,
    cause: 'equal requests that one lost engine had begun were held for poison',
  },
  {
    seed: 2006,
    durationMs: 20_000,
    cause: 'an entry that started while its settings were half written ended',
  },
  {
    seed: 5011,
    durationMs: 20_000,
    cause: 'the relay passed a reset on as a clean end of an unframed answer',
  },
  {
    seed: 7212,
    durationMs: 20_000,
    cause: 'the stand-in store ended when a write to it broke off midway',
  },
];
