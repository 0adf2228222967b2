/** Messages by which a stand-in process is steered by its parent. */

/** A step that a parent asks for; the process answers with its number. */
export interface ParentCommand {
  readonly number: number;
  readonly step: string;
  readonly args: unknown;
}

/** Sent once the step was done. */
export interface CommandReply {
  readonly number: number;
}

/** Steps of a stand-in by their names. */
export interface CommandHandlers {
  readonly [step: string]: (args: never) => void;
}

/**
 * Carries out the steps that the parent process asks for.
 *
 * @example
 * followParent({setMode: (mode: StoreMode) => store.setMode(mode)});
 */
export function handleParentCommands(steps: CommandHandlers): void {
  process.on('message', ({number, step, args}: ParentCommand) => {
    const run = steps[step];
    if (run === undefined) throw new Error(`no such step: ${step}`);
    run(args as never);
    process.send?.({number} satisfies CommandReply);
  });
  // A stand-in must not outlive the process that steers it.
  process.on('disconnect', () => process.exit(0));
}
