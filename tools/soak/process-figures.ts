/** Figures that a running process of the product shows to the outside. */
import {readFileSync} from 'node:fs';

import {request} from 'undici';

/** Port on which an entry serves its metrics. */
export const METRICS_PORT = 9_464;

const BYTES_PER_KB = 1_024;
const NS_PER_MS = 1_000_000;
const METRICS_TIMEOUT_MS = 1_000;

/** Largest resident size of a process since its start, as in `/proc`. */
const PEAK_MEMORY = /^VmHWM:\s+(\d+) kB$/m;

/** A sample of the counter of failed tasks. */
const TASK_FAILURES = /task_failures_total(?:\{[^}]*\})? (\d+)/g;

/**
 * Returns the largest resident size of a process so far, in bytes; 0 if the
 * process is gone or the system does not tell.
 *
 * @example
 * const bytes = readPeakMemory(entry.pid);
 */
export function readPeakMemory(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(PEAK_MEMORY.exec(status)?.[1] ?? 0) * BYTES_PER_KB;
  } catch {
    return 0;
  }
}

/**
 * Returns how long a process was ready to run but had no processor, in
 * milliseconds; 0 if it is gone or the system does not tell.
 *
 * @example
 * const waitMs = readProcessorWait(entry.pid);
 */
export function readProcessorWait(pid: number): number {
  try {
    const [, waitNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(
      ' ',
    );
    return Number(waitNs) / NS_PER_MS;
  } catch {
    return 0;
  }
}

/**
 * Returns the sum of all samples of `task_failures_total` in a text of metrics.
 *
 * @example
 * parseTaskFailures('task_failures_total{task="call"} 2'); // 2
 */
export function parseTaskFailures(text: string): number {
  return [...text.matchAll(TASK_FAILURES)]
    .map(([, count]) => Number(count))
    .reduce((sum, count) => sum + count, 0);
}

/** Reads the number of failed tasks of an entry; 0 if it does not respond. */
export async function readTaskFailures(address: string): Promise<number> {
  const signal = AbortSignal.timeout(METRICS_TIMEOUT_MS);
  try {
    const url = `http://${address}:${METRICS_PORT}/metrics`;
    const {body} = await request(url, {signal, reset: true});
    return parseTaskFailures(await body.text());
  } catch {
    // An entry that is down or paused has no figures.
    return 0;
  }
}
