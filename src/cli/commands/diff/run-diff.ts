import {STORE_UNREACHABLE} from '../../../core/errors/index.js';
import {
  diffDocuments,
  formatChange,
  loadDeploymentOrReport,
} from '../../config-files/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import {readCurrentConfig} from '../apply/config-writer.js';
import type {DiffOptions} from './types.js';

/** Runs `diff`. */
export async function runDiff(
  ctx: CliContext,
  options: DiffOptions,
): Promise<ExitStatus> {
  const loaded = await loadDeploymentOrReport(ctx, options.files);
  if (loaded.isErr()) {
    return ExitStatus.BAD_INPUT;
  }
  const store = await ctx.createStore({baseUrl: options.platform});
  const read = await readCurrentConfig(store);
  if (read.isErr()) {
    reportError(ctx, STORE_UNREACHABLE, read.error.detail);
    return ExitStatus.FAILED;
  }
  const {version, stored} = read.value;
  const before = stored.map(({document}) => document).extract();
  const operator = stored.map((config) => config.operator).extract();
  const changes = diffDocuments({before, after: loaded.value.document});
  if (options.json === true) {
    ctx.out(`${JSON.stringify({version, operator, changes}, null, 2)}\n`);
    return ExitStatus.OK;
  }
  ctx.out(describeAccepted(version, operator));
  ctx.out(changes.length === 0 ? 'no difference\n' : '');
  changes.forEach((change) => ctx.out(`${formatChange(change)}\n`));
  return ExitStatus.OK;
}

function describeAccepted(version: number, operator?: string): string {
  return version === 0
    ? 'nothing is accepted yet\n'
    : `accepted: version ${version} by ${operator ?? 'an unknown operator'}\n`;
}
