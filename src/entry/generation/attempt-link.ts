/** Where an attempt's words come from. */
import type {Message} from '../../core/protocol/index.js';
import type {LinkHandler} from '../links/link-handler.js';

/** A link over which one or many attempts are followed. */
export interface AttemptLink {
  readonly vm: string;
  /** Sends the first message; false when nothing was sent. */
  open(options: {id: string; message: Message; handler: LinkHandler}): boolean;
  /** Sends a message that needs no answer. */
  send(message: Message): void;
  /** Forgets an attempt; later words of it are dropped. */
  release(id: string): void;
}
