/** Length-prefixed CBOR frames. */
import {Encoder} from 'cbor-x';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import {decodeValue} from '../codec/decode-value.js';
import {Layer} from '../errors/types.js';
import {LENGTH_BYTES, MAX_FRAME_BYTES} from './consts.js';
import {MessageType} from './message-type.js';
import type {Message} from './messages.js';
import {MESSAGE_CODECS} from './messages.js';
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
  /** Received bytes that no frame has used yet, in order. */
  private chunks: Buffer[] = [];
  private pendingLength = 0;

  constructor(private readonly maxBytes = MAX_FRAME_BYTES) {}

  /** Size of the incomplete frame received so far, in bytes. */
  get pendingBytes(): number {
    return this.pendingLength;
  }

  /**
   * Adds a chunk and returns the messages that it completes, or the first
   * error, after which the stream must be closed.
   *
   * @example
   * reader.push(chunk).map((messages) => messages.forEach(handle));
   */
  push(chunk: Buffer): Result<Message[], TransportError> {
    this.chunks.push(chunk);
    this.pendingLength += chunk.length;
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
    if (this.pendingLength < LENGTH_BYTES) return ok(undefined);
    const length = this.readLength();
    if (length > this.maxBytes) {
      const detail = `frame body of ${length} bytes exceeds ${this.maxBytes} bytes`;
      return err(
        createTransportError(TransportErrorKind.FRAME_TOO_LARGE, detail),
      );
    }
    const end = LENGTH_BYTES + length;
    if (this.pendingLength < end) return ok(undefined);
    // Joined only here, as joining at each chunk would copy a frame many times.
    const pending = this.joinChunks();
    this.chunks = [pending.subarray(end)];
    this.pendingLength -= end;
    return ok(pending.subarray(LENGTH_BYTES, end));
  }

  private readLength(): number {
    if (this.chunks[0]!.length < LENGTH_BYTES)
      this.chunks = [this.joinChunks()];
    return this.chunks[0]!.readUInt32BE(0);
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    return this.chunks.length === 1 ? first! : Buffer.concat(this.chunks);
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
  const message = decodeValue<Message>(MESSAGE_CODECS[type], value.value);
  return message.mapErr(createBadMessageError);
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
