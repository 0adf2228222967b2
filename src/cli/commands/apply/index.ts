import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parseCount, parseUrl} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {ApplyOptions} from './types.js';

/** Declares `apply`. */
export function createApplyCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('apply')
    .description('check a deployment configuration and have it accepted')
    .requiredOption('-f, --files <dir>', 'directory of the configuration')
    .requiredOption('--platform <url>', 'base URL of the platform', parseUrl)
    .option('--operator <name>', 'your name, as others see it')
    .option(
      '--expect-version <version>',
      'fail unless this version is accepted now; 0 for none',
      parseCount,
    )
    .option('--json', 'write JSON')
    .action(async (opts: ApplyOptions) => {
      const {runApply} = await import('./run-apply.js');
      finish(await runApply(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill apply -f examples/quickstart --platform http://10.0.0.10:7000',
    'plantainrill apply -f site --platform http://10.0.0.10:7000 --expect-version 41',
  ]);
}
