import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parseUrls} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {StatusOptions} from './types.js';

/** Declares `status`. */
export function createStatusCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('status')
    .description('show processes and the configuration in force at each')
    .requiredOption('--operators <urls>', 'operators addresses', parseUrls)
    .option('--json', 'write JSON')
    .action(async (opts: StatusOptions) => {
      const {runStatus} = await import('./run-status.js');
      finish(await runStatus(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill status --operators http://10.0.1.1:7002,http://10.0.2.1:7002',
  ]);
}
