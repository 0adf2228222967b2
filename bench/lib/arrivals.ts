/** Arrival processes, reproducible by their seed. */
import type {RandomSource} from '../../src/core/clock/index.js';

const MS_PER_SECOND = 1_000;

/**
 * Returns the arrival times of a Poisson process, in milliseconds from its start.
 *
 * @example
 * createPoissonArrivals({perSecond: 50, durationMs: 3_000, random});
 */
export function createPoissonArrivals(options: {
  perSecond: number;
  durationMs: number;
  random: RandomSource;
}): number[] {
  const {perSecond, durationMs, random} = options;
  const times: number[] = [];
  const meanMs = MS_PER_SECOND / perSecond;
  let atMs = sampleExponential(meanMs, random);
  while (atMs < durationMs) {
    times.push(atMs);
    atMs += sampleExponential(meanMs, random);
  }
  return times;
}

/**
 * Draws an exponentially distributed time with a mean of `meanMs` milliseconds.
 *
 * @example
 * const delayMs = sampleExponential(400, random);
 */
export function sampleExponential(
  meanMs: number,
  random: RandomSource,
): number {
  return -meanMs * Math.log(1 - random.float());
}

/**
 * Calls `run` at each time after the start, even if earlier calls have not
 * ended. Resolves when all calls have ended.
 *
 * @example
 * await runAtTimes({timesMs: [0, 10.5], run: (index) => send(index)});
 */
export async function runAtTimes(options: {
  timesMs: readonly number[];
  run: (index: number) => Promise<void>;
}): Promise<void> {
  const startMs = performance.now();
  const runs = options.timesMs.map(async (atMs, index) => {
    await sleep(startMs + atMs - performance.now());
    await options.run(index);
  });
  await Promise.all(runs);
}

/**
 * Waits `ms` milliseconds; a negative time counts as 0.
 *
 * @example
 * await sleep(500);
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
