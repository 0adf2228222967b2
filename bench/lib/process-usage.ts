/** What a started process has used, as the kernel counts it. */
import {readFileSync} from 'node:fs';

/** The kernel counts processor time in hundredths of a second. */
const US_PER_TICK = 10_000;

/** Places of user and system time after the program's name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Processor time and resident memory of one process. */
export interface ProcessUsage {
  readonly cpuUs: number;
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
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks * US_PER_TICK;
}

function readResidentKb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
}
