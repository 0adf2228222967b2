/** Messages that let a parent process control a stand-in process. */

/** Command from the parent; the reply has the same number. */
export interface ParentCommand {
  readonly number: number;
  /** Name of the command. */
  readonly step: string;
  readonly args: unknown;
}

/** Sent after the command was executed. */
export interface CommandReply {
  readonly number: number;
}

/** Handlers of the commands of a stand-in, by the name of the command. */
export interface CommandHandlers {
  readonly [step: string]: (args: never) => void;
}

/**
 * Executes the commands of the parent process.
 *
 * @example
 * handleParentCommands({dropHistory: () => store.dropHistory()});
 */
export function handleParentCommands(handlers: CommandHandlers): void {
  process.on('message', ({number, step, args}: ParentCommand) => {
    const handler = handlers[step];
    if (handler === undefined) throw new Error(`unknown command: ${step}`);
    handler(args as never);
    process.send?.({number} satisfies CommandReply);
  });
  // A stand-in must not outlive its parent.
  process.on('disconnect', () => process.exit(0));
}
