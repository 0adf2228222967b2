/** Measured slopes: costs per unit, from which the page is calculated. */
import {readFileSync} from 'node:fs';

import type {Report} from '../../bench/lib/report.js';

/** Slopes by use; `Us` in microseconds, `Bytes` in bytes. */
export interface Slopes {
  readonly entryIdleUs: number;
  readonly agentIdleUs: number;
  readonly entryBytes: number;
  readonly agentBytes: number;
  readonly entryTokenUs: number;
  readonly agentTokenUs: number;
  readonly requestUs: number;
  readonly bookingUs: number;
  readonly bookingCalls: number;
  readonly configUs: number;
  readonly watchedTargetBytes: number;
  readonly watchedTargetUs: number;
  readonly heartbeatUs: number;
  readonly heartbeatBytes: number;
  readonly heartbeatBytesWithoutPrefixes: number;
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

/** Extracts the slopes from a report. */
export function resolveSlopes(report: Report): Slopes {
  const medianOf = (name: string): number => {
    const found = report.cases.find((row) => row.name === name);
    if (found === undefined) throw new Error(`no case "${name}"`);
    return found.p50;
  };
  const bytesPerKb = 1_024;
  return {
    entryIdleUs: medianOf('entry: idle'),
    agentIdleUs: medianOf('agent: idle'),
    entryBytes: medianOf('entry: resident memory, idle') * bytesPerKb,
    agentBytes: medianOf('agent: resident memory, idle') * bytesPerKb,
    entryTokenUs: medianOf('entry: per token relayed'),
    agentTokenUs: medianOf('agent: per token relayed'),
    requestUs: medianOf('entry: per generation of one token'),
    bookingUs: medianOf('entry: per booking'),
    bookingCalls: medianOf('platform: object calls per booking'),
    configUs: medianOf('entry: per configuration change'),
    watchedTargetBytes: medianOf('entry: memory per watched target'),
    // Within measurement noise, so the measured value may be negative.
    watchedTargetUs: Math.max(
      0,
      medianOf('entry: per watched target beside heartbeats'),
    ),
    heartbeatUs: medianOf('entry: per heartbeat'),
    heartbeatBytes: medianOf('peer: bytes of a heartbeat'),
    heartbeatBytesWithoutPrefixes: medianOf(
      'peer: bytes of a heartbeat without prefixes',
    ),
    entryStreamBytes: medianOf('entry: memory per stream'),
    agentStreamBytes: medianOf('agent: memory per stream'),
  };
}
