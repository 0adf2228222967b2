/** A stand-in in its own process, controlled by IPC messages. */
import type {
  CommandReply,
  ParentCommand,
} from '../../stand-ins/site/parent-commands.js';
import {Proc} from '../lab/proc.js';

/** A stand-in process that executes commands of this process. */
export class StandInProcess {
  private number = 0;
  private readonly pending = new Map<number, () => void>();

  private constructor(
    readonly proc: Proc,
    readonly port: number,
  ) {}

  /**
   * Starts a program of `stand-ins/site` and waits until it listens.
   *
   * @example
   * const store = await StandInProcess.start({script: 'store-main.js'});
   */
  static async start(options: {
    script: string;
    args?: readonly string[];
    /** Called with messages that are not replies to commands. */
    onReport?: (report: unknown) => void;
  }): Promise<StandInProcess> {
    const {script, args = [], onReport} = options;
    const onMessage = (message: unknown) => {
      const {number} = message as Partial<CommandReply>;
      if (number === undefined) onReport?.(message);
      else standIn?.complete(number);
    };
    const proc = Proc.start({
      script: `stand-ins/site/${script}`,
      args,
      onMessage,
    });
    const {port = 0} = await proc.ready;
    const standIn = new StandInProcess(proc, port);
    return standIn;
  }

  /** Executes a command; resolves when it is done or the process exits. */
  async execute(step: string, args: unknown): Promise<void> {
    const number = ++this.number;
    const done = new Promise<void>((resolve) => {
      this.pending.set(number, resolve);
    });
    this.proc.send({number, step, args} satisfies ParentCommand);
    await Promise.race([done, this.proc.exited]);
  }

  private complete(number: number): void {
    this.pending.get(number)?.();
    this.pending.delete(number);
  }
}
