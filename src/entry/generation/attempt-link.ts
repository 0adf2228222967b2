/** The connection over which an attempt's messages arrive. */
import type {Message} from '../../core/protocol/index.js';
import type {LinkHandler} from '../links/link-handler.js';

/** A link that carries the messages of one or several attempts. */
export interface AttemptLink {
  readonly vm: string;
  /** Sends the first message; returns false if nothing was sent. */
  open(options: {id: string; message: Message; handler: LinkHandler}): boolean;
  /** Sends a message that needs no response. */
  send(message: Message): void;
  /** Removes the handler of an attempt; its later messages are dropped. */
  release(id: string): void;
}
