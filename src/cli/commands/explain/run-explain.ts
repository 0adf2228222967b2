import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';

import type {LogLine, RelatedLine} from '../../../core/timeline/index.js';
import {parseLogLine, buildTimeline} from '../../../core/timeline/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {ExplainOptions} from './types.js';

/** Runs `explain`. */
export async function runExplain(
  ctx: Pick<CliContext, 'out' | 'err'>,
  options: ExplainOptions & {id: string; files: readonly string[]},
): Promise<ExitStatus> {
  const {id, files, json} = options;
  let lines: LogLine[];
  try {
    lines = (await readTexts(files)).flatMap(parseLogLines);
  } catch (e) {
    ctx.err(`${e instanceof Error ? e.message : String(e)}\n`);
    return ExitStatus.BAD_INPUT;
  }
  const timeline = buildTimeline({lines, id});
  if (timeline.length === 0) {
    ctx.err(`no log line contains the request id ${id}\n`);
    return ExitStatus.BAD_INPUT;
  }
  if (json === true) ctx.out(`${JSON.stringify(timeline, null, 2)}\n`);
  else ctx.out(timeline.map(formatLine).join(''));
  return ExitStatus.OK;
}

function readTexts(files: readonly string[]): Promise<string[]> {
  if (files.length === 0) return Promise.all([text(process.stdin)]);
  return Promise.all(files.map((file) => readFile(file, 'utf8')));
}

function parseLogLines(content: string): LogLine[] {
  return content.split('\n').flatMap((line) => parseLogLine(line) ?? []);
}

function formatLine({relation, line}: RelatedLine): string {
  const {timestamp, vm, message, fields} = line;
  const formattedFields = Object.entries(fields)
    .filter(([name]) => name !== 'id' && name !== 'role')
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `${timestamp} ${vm} [${relation}] ${message} ${formattedFields.join(' ')}\n`;
}
