/** The measured slopes that the page is worked out from. */
import {readFileSync} from 'node:fs';

import type {Report} from '../../bench/lib/report.js';

/** Slopes by what they are used for; times in microseconds. */
export interface Slopes {
  readonly entryIdleUs: number;
  readonly agentIdleUs: number;
  readonly entryBytes: number;
  readonly agentBytes: number;
  readonly entryTokenUs: number;
  readonly agentTokenUs: number;
  readonly bookingUs: number;
  readonly bookingCalls: number;
  readonly configUs: number;
  readonly watchedBytes: number;
  readonly watchedUs: number;
  readonly heartbeatUs: number;
  readonly heartbeatBytes: number;
  readonly bareHeartbeatBytes: number;
  readonly entryStreamBytes: number;
  readonly agentStreamBytes: number;
}

/**
 * Reads a report that `npm run bench -- slopes --json` printed.
 *
 * @example
 * const report = loadReport('docs/measurements/slopes.json');
 */
export function loadReport(file: string): Report {
  return JSON.parse(readFileSync(file, 'utf8')) as Report;
}

/** Picks the slopes out of a report. */
export function resolveSlopes(report: Report): Slopes {
  const of = (name: string): number => {
    const found = report.cases.find((row) => row.name === name);
    if (found === undefined) throw new Error(`no case "${name}"`);
    return found.p50;
  };
  const bytesPerKb = 1_024;
  return {
    entryIdleUs: of('entry: idle'),
    agentIdleUs: of('agent: idle'),
    entryBytes: of('entry: resident memory, idle') * bytesPerKb,
    agentBytes: of('agent: resident memory, idle') * bytesPerKb,
    entryTokenUs: of('entry: per token relayed'),
    agentTokenUs: of('agent: per token relayed'),
    bookingUs: of('entry: per booking'),
    bookingCalls: of('platform: object calls per booking'),
    configUs: of('entry: per configuration change'),
    watchedBytes: of('entry: memory per watched target'),
    // Too small to be told from noise; below 0 it counts as nothing.
    watchedUs: Math.max(0, of('entry: per watched target beside heartbeats')),
    heartbeatUs: of('entry: per heartbeat'),
    heartbeatBytes: of('peer: bytes of a heartbeat'),
    bareHeartbeatBytes: of('peer: bytes of a heartbeat without prefixes'),
    entryStreamBytes: of('entry: memory per stream'),
    agentStreamBytes: of('agent: memory per stream'),
  };
}
