/** Selects the log lines of a site that explain one request. */

/** One line of a structured log. */
export interface LogLine {
  /** ISO 8601. */
  readonly timestamp: string;
  readonly level: string;
  readonly message: string;
  readonly vm: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How a line is related to the request. */
export enum Relation {
  /** The line has the id of the request. */
  REQUEST = 'request',
  /** The line concerns a target to which the request was sent. */
  TARGET = 'target',
  /** The line concerns the entry itself, such as its reads of the store. */
  ENTRY_STATE = 'belief',
}

/** A line with its relation to the request. */
export interface RelatedLine {
  readonly relation: Relation;
  readonly line: LogLine;
}

/**
 * Time before the first and after the last line of the request within which
 * other lines are related to it.
 */
const CONTEXT_MS = 3_000;

/** Fields that contain the id of a target. */
const TARGET_FIELDS = ['target', 'from', 'copy', 'holder'] as const;

/**
 * Returns the lines related to a request, sorted by time: its own lines, and
 * lines of its entry around them that concern its targets or the entry itself.
 *
 * @example
 * const timeline = buildTimeline({lines, id: '9c41d07be2a35f68'});
 */
export function buildTimeline(options: {
  lines: readonly LogLine[];
  id: string;
}): RelatedLine[] {
  const {lines, id} = options;
  const ownLines = lines.filter((line) => line.fields['id'] === id);
  const vms = new Set(ownLines.map((line) => line.vm));
  const targets = new Set(ownLines.flatMap(targetsOf));
  const times = ownLines.map(timeOf);
  const fromMs = Math.min(...times) - CONTEXT_MS;
  const untilMs = Math.max(...times) + CONTEXT_MS;
  const timeline: RelatedLine[] = [];
  for (const line of lines) {
    const isInWindow = timeOf(line) >= fromMs && timeOf(line) <= untilMs;
    const isOwn = line.fields['id'] === id;
    if (!isOwn && (!isInWindow || !vms.has(line.vm))) continue;
    const relation = isOwn ? Relation.REQUEST : relationOf(line, targets);
    if (relation !== undefined) timeline.push({relation, line});
  }
  return timeline.sort((a, b) => timeOf(a.line) - timeOf(b.line));
}

function relationOf(
  line: LogLine,
  targets: ReadonlySet<string>,
): Relation | undefined {
  // Lines of other requests are not related.
  if (line.fields['id'] !== undefined) return undefined;
  const lineTargets = targetsOf(line);
  if (lineTargets.length === 0) return Relation.ENTRY_STATE;
  return lineTargets.some((name) => targets.has(name))
    ? Relation.TARGET
    : undefined;
}

function targetsOf(line: LogLine): string[] {
  return TARGET_FIELDS.flatMap((field) => {
    const value = line.fields[field];
    return typeof value === 'string' ? value : [];
  });
}

function timeOf(line: LogLine): number {
  return Date.parse(line.timestamp);
}

/**
 * Parses one line of a log; returns undefined if it is not a log line. Text
 * before the JSON is skipped.
 *
 * @example
 * const line = parseLogLine('{"message":"started","vm":"entry-1", ...}');
 */
export function parseLogLine(text: string): LogLine | undefined {
  const jsonStart = text.indexOf('{');
  if (jsonStart < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(jsonStart));
  } catch {
    // The log may contain lines of other programs.
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const {timestamp, level, message, vm, ...fields} = value as Record<
    string,
    unknown
  >;
  const isLogLine =
    typeof timestamp === 'string' &&
    typeof level === 'string' &&
    typeof message === 'string' &&
    typeof vm === 'string';
  return isLogLine ? {timestamp, level, message, vm, fields} : undefined;
}
