/** Length-prefixed CBOR frames. */
import {Encoder} from 'cbor-x';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import {Layer} from '../errors/types.js';
import {LENGTH_BYTES, MAX_FRAME_BYTES} from './consts.js';
import type {Message} from './messages.js';
import {MESSAGE_CODECS, MessageType} from './messages.js';
import type {TransportError} from './types.js';
import {TransportErrorKind} from './types.js';

const CBOR = new Encoder({useRecords: false, mapsAsObjects: true});
const MESSAGE_TYPES = new Set<unknown>(Object.values(MessageType));

/**
 * Encodes a message as one frame.
 *
 * @example
 * socket.write(encodeFrame({type: MessageType.CANCEL, attemptId: 'a1'}));
 */
export function encodeFrame(message: Message): Buffer {
  const body = CBOR.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Splits a byte stream into frames and decodes their messages. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Adds a chunk and returns the messages that it completes, or the first
   * error, after which the stream must be closed.
   *
   * @example
   * reader.push(chunk).map((messages) => messages.forEach(handle));
   */
  push(chunk: Buffer): Result<Message[], TransportError> {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const messages: Message[] = [];
    for (;;) {
      const body = this.takeBody();
      if (body.isErr()) return err(body.error);
      if (body.value === undefined) return ok(messages);
      const message = decodeMessage(body.value);
      if (message.isErr()) return err(message.error);
      messages.push(message.value);
    }
  }

  private takeBody(): Result<Buffer | undefined, TransportError> {
    if (this.pending.length < LENGTH_BYTES) return ok(undefined);
    const length = this.pending.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) {
      const detail = `frame body of ${length} bytes exceeds ${MAX_FRAME_BYTES} bytes`;
      return err(
        createTransportError(TransportErrorKind.FRAME_TOO_LARGE, detail),
      );
    }
    const end = LENGTH_BYTES + length;
    if (this.pending.length < end) return ok(undefined);
    const body = this.pending.subarray(LENGTH_BYTES, end);
    this.pending = this.pending.subarray(end);
    return ok(body);
  }
}

/**
 * Creates an error of the transport layer.
 *
 * @example
 * createTransportError(TransportErrorKind.CLOSED, 'stopped');
 */
export function createTransportError(
  kind: TransportErrorKind,
  detail: string,
): TransportError {
  return {layer: Layer.TRANSPORT, kind, detail};
}

function decodeMessage(body: Buffer): Result<Message, TransportError> {
  const value = decodeCbor(body);
  if (value.isErr()) return err(value.error);
  const type = messageTypeOf(value.value);
  if (type === undefined) {
    return err(createBadMessageError('unknown message type'));
  }
  return MESSAGE_CODECS[type]
    .decode(value.value)
    .caseOf<Result<Message, TransportError>>({
      Left: (detail) => err(createBadMessageError(detail)),
      Right: (message) => ok(message),
    });
}

function decodeCbor(body: Buffer): Result<unknown, TransportError> {
  try {
    return ok(CBOR.decode(body) as unknown);
  } catch (e) {
    const detail = e instanceof Error ? e.message : String(e);
    return err(createTransportError(TransportErrorKind.BAD_CBOR, detail));
  }
}

function messageTypeOf(value: unknown): MessageType | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const type: unknown = Reflect.get(value, 'type');
  return MESSAGE_TYPES.has(type) ? (type as MessageType) : undefined;
}

function createBadMessageError(detail: string): TransportError {
  return createTransportError(TransportErrorKind.BAD_MESSAGE, detail);
}
