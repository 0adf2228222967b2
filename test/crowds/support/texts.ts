/** What the clients of a crowd write to a port for peers. */
import type {Message} from '../../../src/core/protocol/index.js';
import {
  encodeFrame,
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
} from '../../../src/core/protocol/index.js';

/**
 * Writes a message between two processes as Latin-1.
 *
 * @example
 * formatMessage({type: MessageType.ALIVE});
 */
export function formatMessage(message: Message): string {
  return encodeFrame(message).toString('latin1');
}

/** First message of a peer. */
export function formatHello(): string {
  return formatMessage({
    type: MessageType.HELLO,
    protocol: PROTOCOL_VERSION,
    vm: 'crowd',
    incarnation: 'crowd-1',
    role: PeerRole.ENTRY,
    dataCentre: 'a',
  });
}
