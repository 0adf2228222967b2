import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import type {CommandOptions} from '../../types.js';
import type {CheckPlatformOptions} from './types.js';

/** Declares `check-platform`. */
export function createCheckPlatformCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('check-platform')
    .description("check files of the users' platform without any connection")
    .option('--settings <file>', 'settings of a process')
    .option('--routes <file>', 'routes, services, limits and keys')
    .option('--json', 'write JSON')
    .action(async (opts: CheckPlatformOptions) => {
      const {runCheckPlatform} = await import('./run-check-platform.js');
      finish(await runCheckPlatform(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill check-platform --settings boot.yaml',
    'plantainrill check-platform --routes routes.json --json',
  ]);
}
