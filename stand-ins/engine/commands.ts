/** Commands to an engine, protected by fencing numbers. */
import type {EngineCommand} from '../../src/core/edges/index.js';
import {EngineCommandKind} from '../../src/core/edges/index.js';
import {enumField, numberField, textField} from '../lib/fields.js';
import {HttpError} from '../lib/http-server.js';

/** Stores the accepted commands and the highest fencing number. */
export class CommandLog {
  readonly accepted: EngineCommand[] = [];
  private highestFencing = 0;

  constructor(private readonly ignoresFencing: boolean) {}

  /**
   * Accepts a command.
   *
   * @throws HttpError 409 if the fencing number is lower than an earlier one.
   */
  accept(body: unknown): EngineCommand {
    const command = {
      kind: enumField(body, 'kind', EngineCommandKind),
      argument: textField(body, 'argument', ''),
      fencing: numberField(body, 'fencing', 0),
    };
    const isStale = command.fencing < this.highestFencing;
    if (isStale && !this.ignoresFencing) {
      throw new HttpError(409, `fencing number below ${this.highestFencing}`);
    }
    this.highestFencing = Math.max(this.highestFencing, command.fencing);
    this.accepted.push(command);
    return command;
  }
}
