/** Orders to an engine, guarded by fencing numbers. */
import type {EngineCommand} from '../../src/core/edges/index.js';
import {EngineCommandKind} from '../../src/core/edges/index.js';
import {enumField, numberField, textField} from '../lib/fields.js';
import {HttpError} from '../lib/http-server.js';

/** Keeps the accepted orders and the highest fencing number. */
export class CommandLog {
  readonly accepted: EngineCommand[] = [];
  private highest = 0;

  constructor(private readonly ignoresFencing: boolean) {}

  /** Accepts an order, or throws 409 when its number is too low. */
  accept(body: unknown): EngineCommand {
    const order = {
      kind: enumField(body, 'kind', EngineCommandKind),
      argument: textField(body, 'argument', ''),
      fencing: numberField(body, 'fencing', 0),
    };
    const isOld = order.fencing < this.highest;
    if (isOld && !this.ignoresFencing) {
      throw new HttpError(409, `fencing number below ${this.highest}`);
    }
    this.highest = Math.max(this.highest, order.fencing);
    this.accepted.push(order);
    return order;
  }
}
