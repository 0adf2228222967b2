import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parsePositive, parseUrl} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {CallOptions} from './types.js';

/** Default deadline of a call, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Declares `call`. */
export function createCallCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('call')
    .description('call a plain service through an entry')
    .requiredOption('--entry <url>', 'base URL of an entry', parseUrl)
    .requiredOption('--key <key>', 'bearer key of a client account')
    .requiredOption('--service <name>', 'name of the service')
    .option('--method <method>', 'HTTP method', 'GET')
    .requiredOption('--path <path>', 'path below the service')
    .option('--idempotency-key <key>', 'key of a non-idempotent call')
    .option('--body <body>', 'body of the request')
    .option(
      '--deadline <ms>',
      'time in all',
      parsePositive,
      DEFAULT_DEADLINE_MS,
    )
    .option('--json', 'write the answer as JSON')
    .action(async (opts: CallOptions) => {
      const {runCall} = await import('./run-call.js');
      finish(await runCall(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill call --entry http://10.0.1.1:8080 --key demo-key --service stock --path /items/7',
    "plantainrill call --entry http://10.0.1.1:8080 --key demo-key --service orders --method POST --path /orders --idempotency-key order-81 --body '{}'",
  ]);
}
