import {Command, CommanderError} from 'commander';

import {EXIT_STATUS_HELP, TOOL_NAME} from './consts.js';
import {COMMANDS} from './commands/index.js';
import type {CliContext, CommandOptions} from './types.js';
import {ExitStatus} from './types.js';

/**
 * Runs the tool with its arguments and returns the exit status.
 *
 * @example
 * await runCli({args: ['check', '-f', 'examples/quickstart'], ctx});
 */
export async function runCli(options: {
  args: readonly string[];
  ctx: CliContext;
}): Promise<ExitStatus> {
  const {args, ctx} = options;
  let status = ExitStatus.OK;
  const finish = (exitStatus: ExitStatus): void => {
    status = exitStatus;
  };
  try {
    await createProgram({ctx, finish}).parseAsync(args, {from: 'user'});
  } catch (thrown) {
    return toExitStatus(thrown);
  }
  return status;
}

function createProgram(options: CommandOptions): Command {
  const program = new Command(TOOL_NAME)
    .description('operates a plantainrill deployment')
    .addHelpText('after', EXIT_STATUS_HELP);
  for (const createCommand of COMMANDS) {
    program.addCommand(createCommand(options));
  }
  for (const command of [program, ...program.commands]) {
    configureOutput(command, options.ctx);
  }
  return program;
}

function configureOutput(command: Command, ctx: CliContext): void {
  command.exitOverride();
  command.configureOutput({
    writeOut: (text) => ctx.out(text),
    writeErr: (text) => ctx.err(text),
  });
}

/** Invalid command lines are bad input; a request for help is a success. */
function toExitStatus(thrown: unknown): ExitStatus {
  if (!(thrown instanceof CommanderError)) {
    throw thrown;
  }
  return thrown.exitCode === 0 ? ExitStatus.OK : ExitStatus.BAD_INPUT;
}
