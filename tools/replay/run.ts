/** One replay: starts a site, callers and disturbances, and records the ends. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';

import {SeededRandom} from '../../src/core/clock/index.js';
import {monitorTimerLag} from '../soak/timer-lag.js';
import {ReplayCallers} from './callers.js';
import {CPU_QUOTA, MEMORY_MB} from './consts.js';
import {playDisturbance} from './disturbances.js';
import type {Disturbance} from './plan.js';
import {createPlan} from './plan.js';
import type {ReplayEntry} from './replay-entry.js';
import {ReplaySite} from './site.js';
import type {ProcessEnd} from './types.js';
import {EndCause} from './types.js';
import type {CapMessage} from './usage-cap.js';

const MEMORY_INTERVAL_MS = 50;

/** Ends at which the last lines of the process are reported. */
const REPORTED_ENDS = new Set([
  EndCause.BY_ITSELF,
  EndCause.LATE_STOP,
  EndCause.SIGNAL_AT_START,
]);

/** Time to readiness over which a start is reported, in milliseconds. */
const SLOW_START_MS = 8_000;

/** A start that took long. */
export interface SlowStart {
  readonly entry: string;
  /** Time since the disturbances began, in milliseconds. */
  readonly atMs: number;
  /** Undefined if it was never ready. */
  readonly readyMs?: number;
  readonly firstLines: readonly string[];
}

/** Resident memory from which a process is reported, in MB. */
const HIGH_MEMORY_MB = 160;

/** A process that used much memory. */
export interface HighMemory {
  readonly entry: string;
  /** Time of its start since the disturbances began, in milliseconds. */
  readonly atMs: number;
  readonly peakMb: number;
  /** Time from its start until the peak. */
  readonly peakAgeMs: number;
}

/** Parameters of a replay. */
export interface ReplayOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Root of a built copy of the project. */
  readonly root: string;
  /** Whether entries get no more than their share of a core. */
  readonly isCapped: boolean;
  /** Callers at each entry that stay connected and always come back. */
  readonly returningCallers: number;
}

/** What a replay showed. */
export interface ReplayResult {
  readonly seed: number;
  readonly isCapped: boolean;
  readonly starts: number;
  /** Number of ends by cause. */
  readonly ends: Readonly<Record<EndCause, number>>;
  readonly failedStarts: number;
  /** Times to readiness of the slowest start and the median, in milliseconds. */
  readonly slowestReadyMs: number;
  readonly medianReadyMs: number;
  readonly slowStarts: readonly SlowStart[];
  /** Largest memory until a second after readiness, and at all, in MB. */
  readonly startPeakMb: number;
  readonly peakMb: number;
  /** Processes whose memory was over the limit. */
  readonly overMemory: number;
  readonly highMemory: readonly HighMemory[];
  /** Number of disturbances. */
  readonly disturbances: number;
  readonly statuses: Readonly<Record<string, number>>;
  /** Longest delay of a timer of the replay itself, in milliseconds. */
  readonly lagMs: number;
  /** Ends that the replay did not cause as planned. */
  readonly findings: readonly ProcessEnd[];
}

/**
 * Plays one seed.
 *
 * @example
 * const {ends} = await runReplay({seed: 7, durationMs: 40_000, root, ...});
 */
export async function runReplay(options: ReplayOptions): Promise<ReplayResult> {
  const {seed, durationMs, root} = options;
  const folder = mkdtempSync(join(tmpdir(), 'replay-'));
  const plan = createPlan({seed, durationMs});
  const site = new ReplaySite({root, folder});
  const sampling = setInterval(() => {
    for (const entry of site.entries) entry.sampleMemory();
  }, MEMORY_INTERVAL_MS);
  const callers = new ReplayCallers(site.entries, new SeededRandom(seed + 1));
  let lagMs = 0;
  const stopMonitor = monitorTimerLag((lag) => (lagMs = Math.max(lagMs, lag)));
  const stopCap = options.isCapped ? capUsage(site.entries) : undefined;
  try {
    await site.start();
    void callers.run();
    for (const entry of site.entries)
      callers.keepConnected(entry, {count: options.returningCallers});
    await playPlan(site, callers, plan, durationMs);
  } finally {
    callers.stop();
    await stopCap?.();
    await site.close();
    clearInterval(sampling);
    stopMonitor();
    rmSync(folder, {recursive: true});
  }
  return summarize({options, plan, site, callers, lagMs});
}

async function playPlan(
  site: ReplaySite,
  callers: ReplayCallers,
  plan: readonly Disturbance[],
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const plays = plan.map(async (planned) => {
    await sleep(planned.atMs);
    await playDisturbance({site, callers, planned});
  });
  await Promise.all(plays);
  await sleep(Math.max(0, endMs - performance.now()));
}

/** Limits the processor time of the entries; returns a function that stops. */
function capUsage(entries: readonly ReplayEntry[]): () => Promise<unknown> {
  const worker = new Worker(new URL('usage-cap.js', import.meta.url), {
    workerData: {quota: CPU_QUOTA},
  });
  const timer = setInterval(() => {
    const pids = entries.flatMap(({activePid}) => activePid ?? []);
    worker.postMessage({pids} satisfies CapMessage);
  }, MEMORY_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    return worker.terminate();
  };
}

function summarize(outcome: {
  options: ReplayOptions;
  plan: readonly Disturbance[];
  site: ReplaySite;
  callers: ReplayCallers;
  lagMs: number;
}): ReplayResult {
  const {options, plan, site, callers, lagMs} = outcome;
  const lives = site.entries.flatMap((entry) => entry.lives);
  const ends = site.entries.flatMap((entry) => entry.ends);
  const readyMs = lives.flatMap((life) => life.readyMs ?? []);
  readyMs.sort((a, b) => a - b);
  const restarts = lives.filter((life) => life.isRestart);
  return {
    seed: options.seed,
    isCapped: options.isCapped,
    starts: lives.length,
    ends: countByCause(ends),
    failedStarts: lives.filter((life) => life.hasFailedToStart).length,
    slowestReadyMs: readyMs.at(-1) ?? 0,
    medianReadyMs: readyMs[Math.floor(readyMs.length / 2)] ?? 0,
    slowStarts: lives
      .filter(({readyMs, hasFailedToStart}) => {
        return hasFailedToStart || (readyMs ?? 0) > SLOW_START_MS;
      })
      .map(({entry, startedAtMs, readyMs, firstLines}) => {
        const atMs = startedAtMs - site.startedAtMs;
        return {entry, atMs, readyMs, firstLines};
      }),
    startPeakMb: largest(restarts.map((life) => life.startPeakMb)),
    peakMb: largest(lives.map((life) => life.peakMb)),
    overMemory: lives.filter((life) => life.peakMb > MEMORY_MB).length,
    highMemory: lives
      .filter(({peakMb}) => peakMb > HIGH_MEMORY_MB)
      .map(({entry, startedAtMs, peakMb, peakAgeMs}) => {
        const atMs = startedAtMs - site.startedAtMs;
        return {entry, atMs, peakMb: Math.round(peakMb), peakAgeMs};
      }),
    disturbances: plan.length,
    statuses: Object.fromEntries(callers.statuses),
    lagMs: Math.round(lagMs),
    findings: ends.filter((end) => REPORTED_ENDS.has(end.cause)),
  };
}

function countByCause(
  ends: readonly ProcessEnd[],
): Readonly<Record<EndCause, number>> {
  const count = (cause: EndCause) =>
    ends.filter((end) => end.cause === cause).length;
  const pairs = Object.values(EndCause).map((cause) => [cause, count(cause)]);
  return Object.fromEntries(pairs) as Record<EndCause, number>;
}

function largest(values: readonly number[]): number {
  return Math.round(Math.max(0, ...values));
}
