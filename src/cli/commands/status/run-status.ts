import type {Result} from 'neverthrow';

import type {HttpError} from '../../http/index.js';
import type {ProcessStatus} from '../../operators/index.js';
import {readStatus} from '../../operators/index.js';
import {formatTable} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {StatusOptions} from './types.js';

const HEADER = [
  'operators',
  'vm',
  'role',
  'data centre',
  'ready',
  'leaving',
  'config',
  'age',
];

const MS_PER_SECOND = 1_000;

interface ProcessReport {
  readonly url: string;
  readonly status: Result<ProcessStatus, HttpError>;
}

/** Runs `status`. */
export async function runStatus(
  ctx: CliContext,
  options: StatusOptions,
): Promise<ExitStatus> {
  const reports = await Promise.all(options.operators.map(createReport));
  if (options.json === true) {
    ctx.out(`${JSON.stringify(reports.map(toJson), null, 2)}\n`);
  } else {
    ctx.out(formatTable({header: HEADER, rows: reports.map(formatRow)}));
  }
  return reports.every(({status}) => status.isOk())
    ? ExitStatus.OK
    : ExitStatus.FAILED;
}

async function createReport(url: string): Promise<ProcessReport> {
  return {url, status: await readStatus(url)};
}

function toJson({url, status}: ProcessReport) {
  return status.match(
    (value) => ({url, status: value}),
    ({kind, detail}) => ({url, error: {kind, detail}}),
  );
}

function formatRow({url, status}: ProcessReport): string[] {
  return status.match(
    (value) => [
      url,
      value.vm,
      value.role,
      value.dataCentre,
      formatFlag(value.ready),
      formatFlag(value.leaving),
      `${value.configVersion}`,
      `${Math.round(value.configAgeMs / MS_PER_SECOND)} s`,
    ],
    (error) => [url, `no answer: ${error.detail}`],
  );
}

function formatFlag(flag: boolean): string {
  return flag ? 'yes' : 'no';
}
