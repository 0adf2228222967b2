import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parseUrl} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {DiffOptions} from './types.js';

/** Declares `diff`. */
export function createDiffCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('diff')
    .description('compare local files with the accepted configuration')
    .requiredOption('-f, --files <dir>', 'directory of the configuration')
    .requiredOption('--platform <url>', 'base URL of the platform', parseUrl)
    .option('--json', 'write JSON')
    .action(async (opts: DiffOptions) => {
      const {runDiff} = await import('./run-diff.js');
      finish(await runDiff(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill diff -f examples/quickstart --platform http://10.0.0.10:7000',
  ]);
}
