/** A socket that bounds what its peer can make this process read. */
import type {SocketConstructorOpts} from 'node:net';
import {Socket} from 'node:net';

/** Most bytes that a socket hands over in one turn of the event loop. */
export const MAX_BYTES_PER_TURN = 32 * 1024;

/** Size of the buffer above which a socket stops reading, in bytes. */
const READ_BUFFER_BYTES = 64 * 1024;

/** Why a connection was closed that brought more than was allowed. */
export const TOO_MANY_BYTES_DETAIL = 'more bytes than a response may take';

/**
 * A connection on which one side asks and the other responds. Bytes are handed
 * to the parser above it in slices, at most one slice in each turn of the event
 * loop, and what exceeds the allowance of a response closes the connection,
 * whatever the bytes are: a status line, headers, informational responses,
 * framing, a body or nothing of the protocol at all.
 *
 * Each write starts a new response with the whole allowance. `grant` extends
 * it for bytes that turned out to be useful, and `revoke` ends it.
 *
 * @example
 * const socket = new BoundedSocket({responseBytes: 65_536});
 * socket.connect({host: '127.0.0.1', port: 80});
 */
export class BoundedSocket extends Socket {
  private leftBytes: number;
  /** Renewed in the turn after it is used up, so that most reads are free. */
  private leftInTurn = MAX_BYTES_PER_TURN;
  private lastWritten = 0;
  private continuation?: NodeJS.Immediate;

  constructor(
    private readonly limits: {
      /** Bytes that may be read after each write, before any `grant`. */
      responseBytes: number;
    },
  ) {
    super({highWaterMark: READ_BUFFER_BYTES} as SocketConstructorOpts);
    this.leftBytes = limits.responseBytes;
    this.once('close', () => clearImmediate(this.continuation));
  }

  /** Allows more bytes of the present response. */
  grant(bytes: number): void {
    this.leftBytes += bytes;
  }

  /** Allows at most so many bytes until the next write. */
  revoke(remaining = 0): void {
    this.leftBytes = Math.min(this.leftBytes, remaining);
  }

  /** Called without a size by the parser, with one by Node.js itself. */
  override read(size?: number): Buffer | null {
    if (size !== undefined) return super.read(size) as Buffer | null;
    const waiting = this.readableLength;
    if (waiting === 0) return super.read() as Buffer | null;
    this.renewAfterWrite();
    if (this.leftBytes <= 0) {
      this.destroy(new Error(TOO_MANY_BYTES_DETAIL));
      return null;
    }
    const slice = Math.min(waiting, this.leftInTurn);
    if (slice === 0) {
      this.continueInNextTurn();
      return null;
    }
    this.leftInTurn -= slice;
    this.leftBytes -= slice;
    return super.read(slice) as Buffer | null;
  }

  /** Takes back bytes that the parser has not used. */
  override unshift(chunk: Buffer): void {
    this.leftBytes += chunk.length;
    super.unshift(chunk);
  }

  private renewAfterWrite(): void {
    const written = this.bytesWritten;
    if (written === this.lastWritten) return;
    this.lastWritten = written;
    this.leftBytes = this.limits.responseBytes;
  }

  private continueInNextTurn(): void {
    if (this.continuation !== undefined) return;
    this.continuation = setImmediate(() => {
      this.continuation = undefined;
      this.leftInTurn = MAX_BYTES_PER_TURN;
      if (!this.destroyed) this.emit('readable');
    });
  }
}
