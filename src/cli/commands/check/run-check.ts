import type {Result} from 'neverthrow';

import type {
  CheckedDeployment,
  CheckedSite,
} from '../../../core/config/index.js';
import {PriorityClass} from '../../../core/config/index.js';
import type {FilesError} from '../../config-files/index.js';
import {
  loadDeployment,
  loadDeploymentOrReport,
} from '../../config-files/index.js';
import {formatTable} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {CheckOptions} from './types.js';

const HEADER = ['site', 'weighs', 'services', 'high priority', 'accounts'];

/** Runs `check`. */
export async function runCheck(
  ctx: CliContext,
  options: CheckOptions,
): Promise<ExitStatus> {
  const {files, json} = options;
  if (json === true) {
    return reportJson(ctx, await loadDeployment(files));
  }
  const loaded = await loadDeploymentOrReport(ctx, files);
  if (loaded.isErr()) {
    return ExitStatus.BAD_INPUT;
  }
  const rows = loaded.value.sites.map(formatSite);
  ctx.out(formatTable({header: HEADER, rows}));
  return ExitStatus.OK;
}

function formatSite({site, config}: CheckedSite): string[] {
  const high = config.services
    .filter(({priorityClass}) => priorityClass === PriorityClass.HIGH)
    .map(({name}) => name);
  return [
    site,
    config.recovery.weigh,
    config.services.map(({name}) => name).join(','),
    high.join(',') || '-',
    `${config.clientAccounts.length}`,
  ];
}

function reportJson(
  ctx: CliContext,
  loaded: Result<CheckedDeployment, FilesError>,
): ExitStatus {
  const report = loaded.match(
    ({sites}) => ({ok: true, sites, problems: []}),
    ({kind, detail, problems}) => ({ok: false, kind, detail, problems}),
  );
  ctx.out(`${JSON.stringify(report, null, 2)}\n`);
  return loaded.isOk() ? ExitStatus.OK : ExitStatus.BAD_INPUT;
}
