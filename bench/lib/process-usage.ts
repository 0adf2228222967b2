/** Processor time and memory of a process, read from `/proc`. */
import {readFileSync} from 'node:fs';

/** Microseconds per clock tick (100 ticks per second). */
const US_PER_TICK = 10_000;

/** Indexes of utime and stime in `/proc/PID/stat`, after the program name. */
const UTIME_INDEX = 11;
const STIME_INDEX = 12;

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  /** User and system time since the start of the process, in microseconds. */
  readonly cpuUs: number;
  /** Resident set size in kB. */
  readonly residentKb: number;
}

/**
 * Reads the usage of a running process.
 *
 * @example
 * readUsage(proc.pid).cpuUs;
 */
export function readUsage(pid: number): ProcessUsage {
  return {cpuUs: readCpuUs(pid), residentKb: readResidentKb(pid)};
}

function readCpuUs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_INDEX]) + Number(fields[STIME_INDEX]);
  return ticks * US_PER_TICK;
}

function readResidentKb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
}
