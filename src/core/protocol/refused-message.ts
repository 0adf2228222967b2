import type {Refusal} from '../errors/refusals.js';
import type {RefusedMessage} from './messages.js';
import {MessageType} from './message-type.js';

/**
 * Converts a refusal into the response to the attempt or call `id`.
 *
 * @example
 * connection.send(createRefusedMessage({id: callId, refusal}));
 */
export function createRefusedMessage(options: {
  id: string;
  refusal: Refusal;
}): RefusedMessage {
  const {reason, ran, detail, retryAfterMs} = options.refusal;
  const type = MessageType.REFUSED;
  return {type, id: options.id, reason, ran, detail, retryAfterMs};
}
