/** The tables of docs/CAPACITY.md. */
import type {Report} from '../../bench/lib/report.js';
import {
  BYTES_PER_KB,
  CONFIG_CHANGES_PER_DAY,
  CONTROL_BYTES_PER_SECOND,
  CONTROL_CORE_SHARE,
  CONTROL_MEMORY_BYTES,
  ENTRIES,
  HEARTBEATS_PER_SECOND,
  PLATFORM_READS_PER_SECOND,
  PLATFORM_WRITES_PER_SECOND,
  REQUESTS_PER_SECOND,
  SECONDS_PER_DAY,
  TARGETS,
  TOKEN_GAP_S,
  TOKENS_PER_SECOND,
  US_PER_SECOND,
  VM_LIST_READS_PER_SECOND,
} from './consts.js';
import type {Slopes} from './slopes.js';

/** Significant digits of the values in the tables. */
const DIGITS = 3;

/** A quantity calculated for the reference workload. */
interface Row {
  readonly quantity: string;
  /** Text that explains how the value is calculated. */
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
  /** Undefined if there is no limit. */
  readonly limit?: number;
}

/**
 * Renders the measured slopes.
 *
 * @example
 * const table = renderSlopes(report);
 */
export function renderSlopes(report: Report): string {
  const rows = report.cases.map((row) => [row.name, format(row.p50), row.unit]);
  return renderTable(['slope', 'measured', 'unit'], rows);
}

/**
 * Renders the load of an entry for the reference workload.
 *
 * @example
 * const table = renderEntry(slopes);
 */
export function renderEntry(slopes: Slopes): string {
  const tokens = TOKENS_PER_SECOND / ENTRIES;
  const streams = tokens * TOKEN_GAP_S;
  const maxTargets = Math.floor(
    CONTROL_BYTES_PER_SECOND / slopes.heartbeatBytes,
  );
  const maxTargetsWithoutPrefixes = Math.floor(
    CONTROL_BYTES_PER_SECOND / slopes.heartbeatBytesWithoutPrefixes,
  );
  const changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY;
  const watchedTargetTotalUs =
    slopes.watchedTargetUs + HEARTBEATS_PER_SECOND * slopes.heartbeatUs;
  return renderRows([
    {
      quantity: 'requests',
      formula: `${REQUESTS_PER_SECOND} / ${ENTRIES} entries`,
      value: REQUESTS_PER_SECOND / ENTRIES,
      unit: '/s',
    },
    {
      quantity: 'cores for requests, beside their tokens',
      formula: 'requests x entry: per generation of one token',
      value:
        ((REQUESTS_PER_SECOND / ENTRIES) * slopes.requestUs) / US_PER_SECOND,
      unit: 'cores',
      limit: 1,
    },
    {
      quantity: 'tokens relayed',
      formula: `${TOKENS_PER_SECOND} / ${ENTRIES}`,
      value: tokens,
      unit: '/s',
    },
    {
      quantity: 'cores for relaying; one process has one',
      formula: 'tokens x entry: per token relayed',
      value: (tokens * slopes.entryTokenUs) / US_PER_SECOND,
      unit: 'cores',
      limit: 1,
    },
    {
      quantity: 'open streams',
      formula: `tokens x ${TOKEN_GAP_S} s between tokens`,
      value: streams,
      unit: '',
    },
    {
      quantity: 'memory of streams',
      formula: 'streams x entry: memory per stream',
      value: streams * slopes.entryStreamBytes,
      unit: 'bytes',
    },
    {
      quantity: 'heartbeats, if every target is watched',
      formula: `${TARGETS} x ${HEARTBEATS_PER_SECOND}/s x bytes of a heartbeat`,
      value: TARGETS * HEARTBEATS_PER_SECOND * slopes.heartbeatBytes,
      unit: 'bytes/s',
      limit: CONTROL_BYTES_PER_SECOND,
    },
    {
      quantity: 'control time, if every target is watched',
      formula: `${TARGETS} x (per target + per heartbeat)`,
      value: (TARGETS * watchedTargetTotalUs) / US_PER_SECOND,
      unit: 'of a core',
      limit: CONTROL_CORE_SHARE,
    },
    {
      quantity: 'targets that may be watched within the limit of bytes',
      formula: `${CONTROL_BYTES_PER_SECOND} / bytes of a heartbeat`,
      value: maxTargets,
      unit: 'targets',
    },
    {
      quantity: 'the same, for heartbeats without prefixes',
      formula: `${CONTROL_BYTES_PER_SECOND} / bytes without prefixes`,
      value: maxTargetsWithoutPrefixes,
      unit: 'targets',
    },
    {
      quantity: 'control time at rest',
      formula: 'entry: idle',
      value: slopes.entryIdleUs / US_PER_SECOND,
      unit: 'of a core',
      limit: CONTROL_CORE_SHARE,
    },
    {
      quantity: 'memory of watched targets, that many',
      formula: 'entry: memory per watched target',
      value: maxTargets * slopes.watchedTargetBytes,
      unit: 'bytes',
      limit: CONTROL_MEMORY_BYTES,
    },
    {
      quantity: 'the whole process at rest',
      formula: 'entry: resident memory, idle',
      value: slopes.entryBytes,
      unit: 'bytes',
      limit: CONTROL_MEMORY_BYTES,
    },
    {
      quantity: 'configuration changes',
      formula: `${CONFIG_CHANGES_PER_DAY} a day x per configuration change`,
      value: (changes * slopes.configUs) / US_PER_SECOND,
      unit: 'of a core',
      limit: CONTROL_CORE_SHARE,
    },
  ]);
}

/**
 * Renders the load of an agent for the reference workload.
 *
 * @example
 * const table = renderAgent(slopes);
 */
export function renderAgent(slopes: Slopes): string {
  const tokens = TOKENS_PER_SECOND / TARGETS;
  const streams = tokens * TOKEN_GAP_S;
  return renderRows([
    {
      quantity: 'tokens passed on',
      formula: `${TOKENS_PER_SECOND} / ${TARGETS} targets`,
      value: tokens,
      unit: '/s',
    },
    {
      quantity: 'cores for passing them on; one process has one',
      formula: 'tokens x agent: per token relayed',
      value: (tokens * slopes.agentTokenUs) / US_PER_SECOND,
      unit: 'cores',
      limit: 1,
    },
    {
      quantity: 'running journals',
      formula: `tokens x ${TOKEN_GAP_S} s between tokens`,
      value: streams,
      unit: '',
    },
    {
      quantity: 'memory of running journals',
      formula: 'journals x agent: memory per stream',
      value: streams * slopes.agentStreamBytes,
      unit: 'bytes',
    },
    {
      quantity: 'heartbeats sent, if every entry watches it',
      formula: `${ENTRIES} x ${HEARTBEATS_PER_SECOND}/s x bytes of a heartbeat`,
      value: ENTRIES * HEARTBEATS_PER_SECOND * slopes.heartbeatBytes,
      unit: 'bytes/s',
      limit: CONTROL_BYTES_PER_SECOND,
    },
    {
      quantity: 'control time at rest',
      formula: 'agent: idle',
      value: slopes.agentIdleUs / US_PER_SECOND,
      unit: 'of a core',
      limit: CONTROL_CORE_SHARE,
    },
    {
      quantity: 'the whole process at rest',
      formula: 'agent: resident memory, idle',
      value: slopes.agentBytes,
      unit: 'bytes',
      limit: CONTROL_MEMORY_BYTES,
    },
  ]);
}

/**
 * Renders the load of the platform for the reference workload.
 *
 * @example
 * const table = renderPlatform(slopes);
 */
export function renderPlatform(slopes: Slopes): string {
  return renderRows([
    {
      quantity: 'reads of the VM list',
      formula: `${ENTRIES} entries x ${VM_LIST_READS_PER_SECOND}/s`,
      value: ENTRIES * VM_LIST_READS_PER_SECOND,
      unit: '/s',
      limit: PLATFORM_READS_PER_SECOND,
    },
    {
      quantity: 'bookings that the writes allow',
      formula: `${PLATFORM_WRITES_PER_SECOND} writes/s / calls per booking`,
      value: PLATFORM_WRITES_PER_SECOND / slopes.bookingCalls,
      unit: '/s',
    },
    {
      quantity: 'bookings that one entry has time for',
      formula: '1 core / entry: per booking',
      value: US_PER_SECOND / slopes.bookingUs,
      unit: '/s',
    },
    {
      quantity: 'writes of configuration changes',
      formula: `${CONFIG_CHANGES_PER_DAY} a day`,
      value: CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY,
      unit: '/s',
      limit: PLATFORM_WRITES_PER_SECOND,
    },
  ]);
}

function renderRows(rows: readonly Row[]): string {
  const head = ['quantity', 'worked out from', 'value', 'limit', 'within'];
  const cells = rows.map((row) => [
    row.quantity,
    row.formula,
    `${format(row.value)} ${row.unit}`.trim(),
    row.limit === undefined ? '' : format(row.limit),
    row.limit === undefined ? '' : row.value <= row.limit ? 'yes' : 'NO',
  ]);
  return renderTable(head, cells);
}

function renderTable(head: string[], rows: string[][]): string {
  const line = (cells: string[]): string => `| ${cells.join(' | ')} |`;
  const rule = head.map(() => '---');
  return [head, rule, ...rows].map(line).join('\n');
}

/** Rounds to `DIGITS`; values from 1,024 on get thousands separators. */
function format(value: number): string {
  const rounded = Number(value.toPrecision(DIGITS));
  return rounded >= BYTES_PER_KB
    ? Math.round(rounded).toLocaleString('en-US')
    : String(rounded);
}
