import type {Layer, LayerError} from '../errors/types.js';

/** Why a connection was closed or could not be opened; each has a counter. */
export enum TransportErrorKind {
  FRAME_TOO_LARGE = 'frame_too_large',
  BAD_CBOR = 'bad_cbor',
  BAD_MESSAGE = 'bad_message',
  BAD_HELLO = 'bad_greeting',
  WRONG_PROTOCOL = 'wrong_protocol',
  HELLO_TIMEOUT = 'greeting_timeout',
  CONNECT_FAILED = 'connect_failed',
  PEER_TOO_SLOW = 'peer_too_slow',
  CLOSED = 'closed',
}

/** An error of the transport layer. */
export type TransportError = LayerError<Layer.TRANSPORT, TransportErrorKind>;
