import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import type {CommandOptions} from '../../types.js';
import type {CheckOptions} from './types.js';

/** Declares `check`. */
export function createCheckCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('check')
    .description('check a deployment configuration without any connection')
    .requiredOption('-f, --files <dir>', 'directory of the configuration')
    .option('--json', 'write JSON')
    .action(async (opts: CheckOptions) => {
      const {runCheck} = await import('./run-check.js');
      finish(await runCheck(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill check -f examples/quickstart',
    'plantainrill check -f site/ --json',
  ]);
}
