/** Figures of a process as the kernel counts them. */
import {readdirSync, readFileSync} from 'node:fs';

const NS_PER_MS = 1_000_000;
const KB_PER_MB = 1_024;

/** Memory of a process, in MB. */
export interface MemoryFigures {
  /** Resident memory at this moment. */
  readonly rssMb: number;
  /** Largest resident memory since its start. */
  readonly peakMb: number;
}

/** Reads the memory of a process; undefined once it has ended. */
export function readMemory(pid: number): MemoryFigures | undefined {
  const status = readOrEmpty(`/proc/${pid}/status`);
  const rss = /VmRSS:\s+(\d+) kB/.exec(status);
  const peak = /VmHWM:\s+(\d+) kB/.exec(status);
  if (rss === null || peak === null) return undefined;
  return {
    rssMb: Number(rss[1]) / KB_PER_MB,
    peakMb: Number(peak[1]) / KB_PER_MB,
  };
}

/**
 * Memory of a process with its part of what it shares, in MB; 0 once it has
 * ended.
 */
export function readSharedMemoryMb(pid: number): number {
  const pss = /^Pss:\s+(\d+) kB/m.exec(
    readOrEmpty(`/proc/${pid}/smaps_rollup`),
  );
  return Number(pss?.[1] ?? 0) / KB_PER_MB;
}

/** Processor time that all threads of a process have used, in milliseconds. */
export function readCpuMs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  let sumNs = 0;
  for (const thread of threadsIn(folder)) {
    const [used = '0'] = readOrEmpty(`${folder}/${thread}/schedstat`).split(
      ' ',
    );
    sumNs += Number(used);
  }
  return sumNs / NS_PER_MS;
}

function threadsIn(folder: string): string[] {
  try {
    return readdirSync(folder);
  } catch {
    // The process has ended.
    return [];
  }
}

function readOrEmpty(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    // The process or the thread has ended.
    return '';
  }
}
