import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import type {CommandOptions} from '../../types.js';
import type {ExplainOptions} from './types.js';

/** Declares `explain`. */
export function createExplainCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('explain')
    .description('tell the story of one request from log lines')
    .argument('<id>', 'id of the request')
    .argument('[files...]', 'log files; standard input if there are none')
    .option('--json', 'write JSON')
    .action(async (id: string, files: string[], opts: ExplainOptions) => {
      const {runExplain} = await import('./run-explain.js');
      finish(await runExplain(ctx, {...opts, id, files}));
    });
  return addHelp(command, [
    'plantainrill explain 9c41d07be2a35f68 entry-1.log entry-2.log',
    'cat *.log | plantainrill explain 9c41d07be2a35f68 --json',
  ]);
}
