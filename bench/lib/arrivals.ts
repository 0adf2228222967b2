/** Arrival processes, reproducible by their seed. */
import type {RandomSource} from '../../src/core/clock/index.js';

const MS_PER_SECOND = 1_000;

/**
 * Returns the arrival times of a Poisson process, in milliseconds from its start.
 *
 * @example
 * poissonArrivals({perSecond: 50, forMs: 3_000, random});
 */
export function poissonArrivals(options: {
  perSecond: number;
  forMs: number;
  random: RandomSource;
}): number[] {
  const {perSecond, forMs, random} = options;
  const times: number[] = [];
  const meanMs = MS_PER_SECOND / perSecond;
  let atMs = exponential(meanMs, random);
  while (atMs < forMs) {
    times.push(atMs);
    atMs += exponential(meanMs, random);
  }
  return times;
}

/**
 * Returns arrival times in bursts of `size` at a mean rate of `perSecond`.
 *
 * @example
 * burstArrivals({perSecond: 50, forMs: 3_000, size: 10, random});
 */
export function burstArrivals(options: {
  perSecond: number;
  forMs: number;
  size: number;
  random: RandomSource;
}): number[] {
  const {perSecond, forMs, size, random} = options;
  const starts = poissonArrivals({perSecond: perSecond / size, forMs, random});
  return starts.flatMap((atMs) => Array.from({length: size}, () => atMs));
}

/** Returns an exponentially distributed time in milliseconds. */
export function exponential(meanMs: number, random: RandomSource): number {
  return -meanMs * Math.log(1 - random.float());
}

/** Calls `run` at each time, even if earlier calls have not ended. */
export async function runAtTimes(options: {
  timesMs: readonly number[];
  run: (index: number) => Promise<void>;
}): Promise<void> {
  const startMs = performance.now();
  const work = options.timesMs.map(async (atMs, index) => {
    await sleep(startMs + atMs - performance.now());
    await options.run(index);
  });
  await Promise.all(work);
}

/** Waits `ms` milliseconds, or not at all if negative. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
