/** A socket that bounds what its peer can make this process read. */
import type {SocketConstructorOpts} from 'node:net';
import {Socket} from 'node:net';

import type {TimerHandle} from '../core/clock/index.js';
import {scheduleTimer} from '../core/clock/index.js';
import type {MemoryBudget, MemoryShare} from '../core/bytes/index.js';
import {KeptLines} from './kept-lines.js';

/** Most bytes that a socket hands over in one turn of the event loop. */
export const MAX_BYTES_PER_TURN = 32 * 1024;

/** Size of the buffer above which a socket stops reading, in bytes. */
const READ_BUFFER_BYTES = 64 * 1024;

/** Why a connection was closed that brought more than was allowed. */
export const TOO_MANY_BYTES_DETAIL = 'more bytes than a response may take';

/** Why a connection was closed that brought too many header lines. */
export const TOO_MANY_LINES_DETAIL = 'more lines than a response may have';

/** Why a connection was closed whose header lines found no memory. */
export const NO_LINE_MEMORY_DETAIL = 'no memory for the lines of a response';

/** Why a connection was closed whose response did not begin properly. */
export const SLOW_HEAD_DETAIL = 'the head of a response did not end in time';

/** Time from the first bytes of a head to its end, in milliseconds. */
export const HEAD_TIMEOUT_MS = 3_000;

/**
 * Bytes that reach a peer at once when a connection is new. A peer that closes
 * its connection after fewer has received the whole request.
 */
const FIRST_FLIGHT_BYTES = 14 * 1024;

/**
 * Time after a large write in which the end of a connection may be followed by
 * its reset, in milliseconds: a peer that has closed rejects what it still
 * receives.
 */
const RESET_GRACE_MS = 50;

/** Why a connection was closed that its peer ended during a request. */
export const ENDED_EARLY_DETAIL = 'ended before the request was written';

const END_EVENT = 'end';

const EMPTY = Buffer.alloc(0);

/** Arguments of all forms of `write`. */
type WriteArguments = [chunk: Uint8Array | string, ...rest: unknown[]];

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
 * A parser keeps each header line as objects that take far more memory than its
 * bytes, so lines are counted as well, and their memory can be reserved. The
 * client above tells where heads, bodies and responses end. A head that is under
 * way has a time limit.
 *
 * The end of the connection may be the end of a response, so `end` is emitted
 * only if the peer ended it in order: after the last byte of the request was
 * written, and with no reset. Node.js reports a reset as an end where it comes
 * together with data. `end` also waits while the parser is paused, as undici
 * fails if a paused response ends.
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
  /** The parser is paused from `unshift` to its next `read`. */
  private isParserPaused = false;
  /** Whether the end has arrived, but is not emitted yet. */
  private isEndHeld = false;
  /** When the last large write was known to be unfinished. */
  private lastLargeWriteMs = Number.NEGATIVE_INFINITY;
  private endTimer?: TimerHandle;
  private readonly lines = new KeptLines();
  private readonly lineMemory?: MemoryShare;
  private hasHeadEnded = false;
  /** Whether the parser has got bytes of a head that has not ended. */
  private isHeadUnderWay = false;
  private headTimer?: TimerHandle;

  constructor(
    private readonly limits: {
      /** Bytes that may be read after each write, before any `grant`. */
      responseBytes: number;
      /** Where the memory of header lines is reserved; by default nowhere. */
      memory?: MemoryBudget;
    },
  ) {
    super({
      highWaterMark: READ_BUFFER_BYTES,
      // The connection stays writable until its end has been examined.
      allowHalfOpen: true,
    } as SocketConstructorOpts);
    this.leftBytes = limits.responseBytes;
    this.lineMemory = limits.memory?.open();
    this.on('drain', () => this.recordLargeWrite());
    this.once('close', () => {
      clearImmediate(this.continuation);
      this.endTimer?.cancel();
      this.endResponse();
    });
  }

  /** Records the end of an informational head with so many fields. */
  endInformational(fields: number): void {
    this.lines.skipInformational(fields);
    this.endHeadTimer();
  }

  /** Records the end of the final head, with so many fields. */
  endHead(fields: number): void {
    this.hasHeadEnded = true;
    this.lines.endHead(fields);
    this.endHeadTimer();
  }

  /** Records that a piece of a body was read, whose lines nobody keeps. */
  recordBody(piece: Uint8Array): void {
    this.lines.skipBody(piece);
  }

  /** Records the end of a response; the next bytes are those of another. */
  endResponse(): void {
    this.hasHeadEnded = false;
    this.lines.reset();
    this.lineMemory?.release();
    this.endHeadTimer();
  }

  /** Allows more bytes of the present response. */
  grant(bytes: number): void {
    this.leftBytes += bytes;
  }

  /**
   * Allows at most so many bytes until the next write; with none, an end of the
   * connection is no longer the end of a response.
   */
  revoke(remaining = 0): void {
    if (remaining === 0) this.lastLargeWriteMs = Number.NEGATIVE_INFINITY;
    this.leftBytes = Math.min(this.leftBytes, remaining);
  }

  override write(...args: WriteArguments): boolean {
    const [chunk] = args;
    if (chunk.length > FIRST_FLIGHT_BYTES) this.recordLargeWrite();
    return super.write(...(args as [Uint8Array | string]));
  }

  /** Called without a size by the parser, with one by Node.js itself. */
  override read(size?: number): Buffer | null {
    if (size !== undefined) return super.read(size) as Buffer | null;
    this.isParserPaused = false;
    if (!this.mayKeepLines()) return null;
    const waiting = this.readableLength;
    if (waiting === 0) {
      if (this.isEndHeld) this.emitHeldEnd();
      return super.read() as Buffer | null;
    }
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
    return this.countLines(super.read(slice) as Buffer | null);
  }

  /** Takes back bytes that the parser has not used, as it is paused. */
  override unshift(chunk: Buffer): void {
    this.isParserPaused = true;
    this.leftBytes += chunk.length;
    this.lines.remove(chunk);
    super.unshift(chunk);
  }

  override emit(event: string | symbol, ...args: unknown[]): boolean {
    if (event !== END_EVENT) return super.emit(event, ...args);
    this.examineEnd();
    return true;
  }

  private countLines(slice: Buffer | null): Buffer | null {
    if (slice === null) return null;
    this.lines.add(slice);
    this.isHeadUnderWay = !this.hasHeadEnded;
    return slice;
  }

  /**
   * Closes the connection if the parser keeps too much of what it got. It reads
   * again as soon as it has parsed a slice, and only then is known how many of
   * the lines were of a body.
   */
  private mayKeepLines(): boolean {
    this.lines.settle();
    if (this.lines.areTooMany) {
      this.destroy(new Error(TOO_MANY_LINES_DETAIL));
    } else if (this.lineMemory?.resize(this.lines.memoryBytes) === false) {
      this.destroy(new Error(NO_LINE_MEMORY_DETAIL));
    } else if (this.isHeadUnderWay && !this.destroyed) {
      this.headTimer ??= scheduleTimer({
        delayMs: HEAD_TIMEOUT_MS,
        run: () => this.destroy(new Error(SLOW_HEAD_DETAIL)),
      });
    }
    return !this.destroyed;
  }

  private endHeadTimer(): void {
    this.isHeadUnderWay = false;
    this.headTimer?.cancel();
    this.headTimer = undefined;
  }

  /** Emits the end, holds it back, or closes a connection that has broken. */
  private examineEnd(): void {
    if (this.destroyed) return;
    if (this.isParserPaused) {
      this.isEndHeld = true;
      return;
    }
    if (this.writableLength > 0) {
      this.destroy(new Error(ENDED_EARLY_DETAIL));
      return;
    }
    const graceMs = this.lastLargeWriteMs + RESET_GRACE_MS - performance.now();
    if (graceMs > 0) {
      const run = () => this.examineEnd();
      this.endTimer = scheduleTimer({delayMs: graceMs, run});
      return;
    }
    if (this.wasReset()) return;
    super.emit(END_EVENT);
    this.end();
  }

  /** A write of no bytes fails if, and only if, the peer sent a reset. */
  private wasReset(): boolean {
    this.write(EMPTY);
    return this.errored !== null;
  }

  private emitHeldEnd(): void {
    this.isEndHeld = false;
    process.nextTick(() => this.examineEnd());
  }

  private recordLargeWrite(): void {
    this.lastLargeWriteMs = performance.now();
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
