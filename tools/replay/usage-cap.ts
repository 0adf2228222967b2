/** Worker thread that pauses processes which have used their processor time. */
import {parentPort, workerData} from 'node:worker_threads';

import {readCpuMs} from './process-figures.js';

const PERIOD_MS = 100;
const CHECK_MS = 10;

/** What the parent sends: processes to be capped from now on. */
export interface CapMessage {
  /** Running processes that nothing else pauses. */
  readonly pids: readonly number[];
}

const quotaMs = (workerData as {quota: number}).quota * PERIOD_MS;
const usedAtStart = new Map<number, number>();
const paused = new Set<number>();
let pids: readonly number[] = [];
let periodEndMs = 0;

parentPort!.on('message', (message: CapMessage) => {
  pids = message.pids;
});
setInterval(check, CHECK_MS);

function check(): void {
  if (performance.now() >= periodEndMs) startPeriod();
  for (const pid of pids) {
    const usedMs = readCpuMs(pid) - (usedAtStart.get(pid) ?? 0);
    if (usedMs < quotaMs || paused.has(pid)) continue;
    paused.add(pid);
    signal(pid, 'SIGSTOP');
  }
}

function startPeriod(): void {
  periodEndMs = performance.now() + PERIOD_MS;
  usedAtStart.clear();
  for (const pid of pids) {
    usedAtStart.set(pid, readCpuMs(pid));
    if (paused.has(pid)) signal(pid, 'SIGCONT');
  }
  paused.clear();
}

function signal(pid: number, name: NodeJS.Signals): void {
  try {
    process.kill(pid, name);
  } catch {
    // The process has ended.
  }
}
