import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parsePositive, parseUrl} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {DrainOptions} from './types.js';

/** Default time to wait, in milliseconds. */
const DEFAULT_DEADLINE_MS = 600_000;

/** Declares `drain`. */
export function createDrainCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('drain')
    .description('make a process leave without cutting off a request')
    .requiredOption('--operators <url>', 'operators address', parseUrl)
    .option('--wait', 'wait until the process is gone')
    .option(
      '--deadline <ms>',
      'time to wait in all',
      parsePositive,
      DEFAULT_DEADLINE_MS,
    )
    .option('--json', 'write JSON, a line for each step')
    .action(async (opts: DrainOptions) => {
      const {runDrain} = await import('./run-drain.js');
      finish(await runDrain(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill drain --operators http://10.0.2.1:7002 --wait',
  ]);
}
