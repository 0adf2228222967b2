/** Measured costs per unit of load, from which the page is calculated. */
import {readFileSync} from 'node:fs';

import type {Report} from '../../bench/lib/report.js';

/**
 * Costs per unit of load; `Us` is CPU time in microseconds. The costs of idle
 * processes and of watched targets are per second.
 */
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

/**
 * Extracts the slopes from a report; throws if one is missing.
 *
 * @example
 * const {requestUs} = resolveSlopes(loadReport(file));
 */
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
    // A difference of measured values that may be negative within their noise.
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
