import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parseCount, parsePositive, parseUrl} from '../../parse-options.js';
import {KEY_VARIABLE} from '../../consts.js';
import type {CommandOptions} from '../../types.js';
import type {RouteOptions} from './types.js';

/** Declares `route`. */
export function createRouteCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('route')
    .description('tell where a request would go now, and why, unsent')
    .requiredOption(
      '--operators <url>',
      'metrics address of a direct entry',
      parseUrl,
    )
    .requiredOption('--host <name>', 'host of the request')
    .requiredOption('--path <path>', 'path and query of the request')
    .option('--account <name>', 'client account that sends it')
    .option(
      '--key-stdin',
      `read the key of a client account, in place of its name, from standard input; without this from ${KEY_VARIABLE} if it is set`,
    )
    .option('--priority <number>', 'priority in place of its own', parseCount)
    .option('--prompt-tokens <number>', 'tokens of the prompt', parseCount)
    .option('--output-tokens <number>', 'most tokens of output', parseCount)
    .option('--part <id:tokens...>', 'parts of the prompt in order')
    .option('--deadline <ms>', 'time for which the caller waits', parsePositive)
    .option('--json', 'write JSON')
    .action(async (opts: RouteOptions) => {
      const {runRoute} = await import('./run-route.js');
      finish(await runRoute(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill route --operators http://10.0.1.1:9464 --host shop.example --path /stock/7 --key-stdin < key.txt',
    'plantainrill route --operators http://10.0.1.1:9464 --host shop.example --path /stock/7 --account demo',
    'plantainrill route --operators http://10.0.1.1:9464 --host shop.example --path /drafts/1 --account demo --prompt-tokens 900 --output-tokens 400 --part 5c1e:800 --json',
  ]);
}
