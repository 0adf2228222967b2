/** One connection between two processes of the system. */
import type {Socket} from 'node:net';

import type {Clock, TimerHandle} from '../clock/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import {
  FRAME_PROGRESS_BYTES,
  HELLO_TIMEOUT_MS,
  MAX_SEND_BUFFER_BYTES,
  PROTOCOL_VERSION,
} from './consts.js';
import {encodeFrame, FrameReader, createTransportError} from './frame-codec.js';
import type {HelloMessage, Message} from './messages.js';
import {MessageType} from './message-type.js';
import {PacedInput} from './paced-input.js';
import type {TransportError} from './types.js';
import {TransportErrorKind} from './types.js';

/** Receives the events of a connection. */
export interface ConnectionListener {
  /** The peer has sent HELLO; other messages follow. */
  onReady(hello: HelloMessage): void;
  onMessage(message: Message): void;
  /** Another `FRAME_PROGRESS_BYTES` of a large frame have arrived. */
  onFrameProgress?(): void;
  /** The send buffer has emptied after `send` returned false. */
  onDrain(): void;
  /** The connection is closed; called once, and last. */
  onClose(err: TransportError): void;
}

/**
 * Sends and receives messages over a socket. Each side sends HELLO first; a
 * malformed frame closes only this connection. A failure of the listener loses
 * only the event that it handled.
 *
 * @example
 * const connection = new PeerConnection({socket, hello, clock, listener});
 * connection.send({type: MessageType.CANCEL, attemptId: 'a1'});
 */
export class PeerConnection {
  private readonly reader: FrameReader;
  private readonly helloTimer: TimerHandle;
  private isHelloReceived = false;
  private closed = false;
  private bytesIn = 0;
  private bytesOut = 0;
  private sentMs = 0;
  /** Bytes of the incomplete frame at the last `onFrameProgress`. */
  private reportedBytes = 0;

  constructor(
    private readonly options: {
      socket: Socket;
      hello: HelloMessage;
      clock: Clock;
      listener: ConnectionListener;
      /** Largest frame that the peer may send; `MAX_FRAME_BYTES` by default. */
      maxFrameBytes?: number;
      /** Whether the peer is handled a little at a time; not by default. */
      isPaced?: boolean;
      /** Holds failures of the listener; without it they reach the socket. */
      supervisor?: Supervisor;
    },
  ) {
    const {socket, hello, clock, listener} = options;
    this.reader = new FrameReader(options.maxFrameBytes);
    const close = () => this.closeAfterFailure();
    socket.setNoDelay(true);
    const receive = (chunk: Buffer) =>
      this.run(() => this.receive(chunk), close);
    const input = options.isPaced && new PacedInput({socket, receive});
    socket.on('data', (chunk) => (input ? input.push(chunk) : receive(chunk)));
    socket.on('drain', () => this.run(() => listener.onDrain()));
    socket.on('error', (cause) => this.closeWith(createClosedError(cause)));
    socket.on('close', () => this.closeWith(createClosedError(undefined)));
    this.helloTimer = clock.schedule({
      delayMs: HELLO_TIMEOUT_MS,
      run: () => this.closeWith(createHelloTimeoutError()),
    });
    this.send(hello);
  }

  /**
   * Sends a message. Returns false when the peer reads too slowly; messages
   * that are not urgent should then wait for `onDrain`.
   */
  send(message: Message): boolean {
    if (this.closed) return false;
    const frame = encodeFrame(message);
    this.sentMs = this.options.clock.now();
    this.bytesOut += frame.length;
    const hasBufferSpace = this.options.socket.write(frame);
    if (this.options.socket.writableLength > MAX_SEND_BUFFER_BYTES) {
      const detail = 'the peer reads too slowly';
      this.closeWith(
        createTransportError(TransportErrorKind.PEER_TOO_SLOW, detail),
      );
    }
    return hasBufferSpace;
  }

  /** Whether the socket's send buffer is above its high-water mark. */
  isCongested(): boolean {
    return this.options.socket.writableNeedDrain;
  }

  /** Bytes that are buffered but not sent yet. */
  unsentBytes(): number {
    return this.closed ? 0 : this.options.socket.writableLength;
  }

  /** When the last message was sent, on the monotonic clock. */
  get sentAtMs(): number {
    return this.sentMs;
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** Bytes received and sent so far. */
  bytes(): {received: number; sent: number} {
    return {received: this.bytesIn, sent: this.bytesOut};
  }

  /** Closes the connection after buffered messages have been written. */
  end(): void {
    this.options.socket.end();
  }

  /** Closes the connection immediately; buffered messages are lost. */
  destroy(detail: string): void {
    this.closeWith(createTransportError(TransportErrorKind.CLOSED, detail));
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.bytesIn += chunk.length;
    this.reader.push(chunk).match(
      (messages) => messages.forEach((message) => this.dispatch(message)),
      (err) => this.closeWith(err),
    );
    this.reportProgress();
  }

  private reportProgress(): void {
    const {pendingBytes} = this.reader;
    if (pendingBytes < this.reportedBytes) this.reportedBytes = 0;
    if (this.closed || !this.isHelloReceived) return;
    if (pendingBytes - this.reportedBytes < FRAME_PROGRESS_BYTES) return;
    this.reportedBytes = pendingBytes;
    this.run(() => this.options.listener.onFrameProgress?.());
  }

  private dispatch(message: Message): void {
    if (this.closed) return;
    if (this.isHelloReceived) {
      this.run(() => this.options.listener.onMessage(message));
      return;
    }
    this.handleHello(message);
  }

  private handleHello(message: Message): void {
    if (message.type !== MessageType.HELLO) {
      const detail = `the first message is ${message.type}, not hello`;
      this.closeWith(
        createTransportError(TransportErrorKind.BAD_HELLO, detail),
      );
      return;
    }
    if (message.protocol !== PROTOCOL_VERSION) {
      const detail = `protocol version ${message.protocol}, expected ${PROTOCOL_VERSION}`;
      this.closeWith(
        createTransportError(TransportErrorKind.WRONG_PROTOCOL, detail),
      );
      return;
    }
    this.helloTimer.cancel();
    this.isHelloReceived = true;
    this.run(
      () => this.options.listener.onReady(message),
      () => this.closeAfterFailure(),
    );
  }

  private closeWith(err: TransportError): void {
    if (this.closed) return;
    this.closed = true;
    this.helloTimer.cancel();
    this.options.socket.destroy();
    this.run(() => this.options.listener.onClose(err));
  }

  /** Closes the connection, as its state is not known after a failure. */
  private closeAfterFailure(): void {
    this.destroy('an event could not be handled');
  }

  private run(work: () => void, onFailure?: () => void): void {
    const {supervisor} = this.options;
    if (supervisor === undefined) work();
    else supervisor.run({name: TaskName.PEERS, onFailure}, work);
  }
}

function createClosedError(cause: Error | undefined): TransportError {
  const detail = cause?.message ?? 'closed by the peer';
  return createTransportError(TransportErrorKind.CLOSED, detail);
}

function createHelloTimeoutError(): TransportError {
  const detail = `no hello within ${HELLO_TIMEOUT_MS} ms`;
  return createTransportError(TransportErrorKind.HELLO_TIMEOUT, detail);
}
