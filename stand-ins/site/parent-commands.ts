/** Messages that let a parent process control a stand-in process. */

/** Command from the parent; the reply has the same number. */
export interface ParentCommand {
  readonly number: number;
  readonly step: string;
  readonly args: unknown;
}

/** Sent after the command was executed. */
export interface CommandReply {
  readonly number: number;
}

/** Command handlers of a stand-in by name. */
export interface CommandHandlers {
  readonly [step: string]: (args: never) => void;
}

/**
 * Executes the commands of the parent process.
 *
 * @example
 * handleParentCommands({setMode: (mode: StoreMode) => store.setMode(mode)});
 */
export function handleParentCommands(steps: CommandHandlers): void {
  process.on('message', ({number, step, args}: ParentCommand) => {
    const run = steps[step];
    if (run === undefined) throw new Error(`unknown command: ${step}`);
    run(args as never);
    process.send?.({number} satisfies CommandReply);
  });
  // A stand-in must not outlive its parent.
  process.on('disconnect', () => process.exit(0));
}
