import type {Layer, LayerError} from '../errors/types.js';

/** Why a connection was closed or could not be opened; each has a counter. */
export enum TransportErrorKind {
  FRAME_TOO_LARGE = 'frame_too_large',
  BAD_CBOR = 'bad_cbor',
  /** The type is unknown, or a field is missing or has the wrong type. */
  BAD_MESSAGE = 'bad_message',
  /** The first message is not HELLO. */
  BAD_HELLO = 'bad_greeting',
  WRONG_PROTOCOL = 'wrong_protocol',
  HELLO_TIMEOUT = 'greeting_timeout',
  /** The server could not listen on its address. */
  CONNECT_FAILED = 'connect_failed',
  PEER_TOO_SLOW = 'peer_too_slow',
  /** Closed by either side, broken by a network error, or never established. */
  CLOSED = 'closed',
}

/** An error of the transport layer. */
export type TransportError = LayerError<Layer.TRANSPORT, TransportErrorKind>;
