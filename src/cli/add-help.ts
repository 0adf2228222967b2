import type {Command} from 'commander';

import {EXIT_STATUS_HELP} from './consts.js';

/**
 * Adds examples and the exit statuses to a command's help.
 *
 * @example
 * addHelp(command, ['plantainrill check -f examples/quickstart']);
 */
export function addHelp(
  command: Command,
  examples: readonly string[],
): Command {
  const lines = examples.map((example) => `  $ ${example}`);
  const text = ['', 'Examples:', ...lines, EXIT_STATUS_HELP].join('\n');
  return command.addHelpText('after', text);
}
