/** A stand-in as a process of its own, steered by messages. */
import type {
  CommandReply,
  ParentCommand,
} from '../../stand-ins/site/parent-commands.js';
import {Proc} from '../lab/proc.js';

/** A stand-in process that carries out steps. */
export class SteeredStandIn {
  private number = 0;
  private readonly waiting = new Map<number, () => void>();

  private constructor(
    readonly proc: Proc,
    readonly port: number,
  ) {}

  /**
   * Starts a program of `stand-ins/site` and waits until it listens.
   *
   * @example
   * const store = await SteeredStandIn.start({script: 'store-main.js'});
   */
  static async start(options: {
    script: string;
    args?: readonly string[];
    /** Takes messages that answer no step. */
    onReport?: (report: unknown) => void;
  }): Promise<SteeredStandIn> {
    const {script, args = [], onReport} = options;
    const onMessage = (message: unknown) => {
      const {number} = message as Partial<CommandReply>;
      if (number === undefined) onReport?.(message);
      else standIn?.settle(number);
    };
    const proc = Proc.start({
      script: `stand-ins/site/${script}`,
      args,
      onMessage,
    });
    const {port = 0} = await proc.ready;
    const standIn = new SteeredStandIn(proc, port);
    return standIn;
  }

  /** Has a step carried out; resolves once it is done, or the process ends. */
  async ask(step: string, args: unknown): Promise<void> {
    const number = ++this.number;
    const done = new Promise<void>((resolve) => {
      this.waiting.set(number, resolve);
    });
    this.proc.send({number, step, args} satisfies ParentCommand);
    await Promise.race([done, this.proc.exited]);
  }

  private settle(number: number): void {
    this.waiting.get(number)?.();
    this.waiting.delete(number);
  }
}
