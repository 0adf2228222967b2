import {Command} from 'commander';

import {addHelp} from '../../add-help.js';
import {parsePositive, parseUrls} from '../../parse-options.js';
import type {CommandOptions} from '../../types.js';
import type {GenerateOptions} from './types.js';

/** Default maximum number of output tokens. */
const DEFAULT_MAX_TOKENS = 256;

/** Default deadline for the complete output, in milliseconds. */
const DEFAULT_DEADLINE_MS = 600_000;

/** Declares `generate`. */
export function createGenerateCommand(options: CommandOptions): Command {
  const {ctx, finish} = options;
  const command = new Command('generate')
    .description('stream an answer, over several entries where need be')
    .requiredOption('--entry <urls>', 'base URLs of entries', parseUrls)
    .requiredOption('--key <key>', 'bearer key of a client account')
    .requiredOption('--model <name>', 'name of the model')
    .requiredOption('--prompt <text>', 'prompt')
    .option(
      '--max-tokens <count>',
      'tokens of the whole answer',
      parsePositive,
      DEFAULT_MAX_TOKENS,
    )
    .option(
      '--deadline <ms>',
      'time in all',
      parsePositive,
      DEFAULT_DEADLINE_MS,
    )
    .option('--json', 'write the whole answer as JSON at its end')
    .action(async (opts: GenerateOptions) => {
      const {runGenerate} = await import('./run-generate.js');
      finish(await runGenerate(ctx, opts));
    });
  return addHelp(command, [
    'plantainrill generate --entry http://10.0.1.1:8080,http://10.0.1.2:8080 --key demo-key --model quote-writer --prompt "A quote for ten pallets"',
  ]);
}
