/** Hands a connection's bytes to the HTTP parser a little at a time. */
import type {Socket} from 'node:net';

import {SLICE_BYTES} from './consts.js';

/** Decides how a reader goes on. */
export interface ReaderControl {
  /** Whether the bytes that were not parsed yet must wait. */
  mustWait(): boolean;
  /** Bytes of the body that is being read, which hold no further request. */
  bodyBytesLeft(): number;
  /** The parser is about to get so many bytes. */
  onParse(bytes: number): void;
  /** The memory of the bytes that wait has changed by so many bytes. */
  onHeld(bytes: number): void;
  /** So many bytes wait for the end of a response. */
  onWait(bytes: number): void;
}

/**
 * Slices what a socket reads. Node.js gives its parser whatever one read has
 * brought, and the parser creates all requests in it, whether or not those
 * before them are answered. Here it gets a slice at a time, and none while a
 * request is being served; nor is the socket read as long as bytes wait.
 *
 * Without bytes that wait, the socket is read as usual, so that a disconnect is
 * noticed.
 *
 * @example
 * const reader = new BoundedReader(socket, control);
 * res.once('close', () => reader.continue());
 */
export class BoundedReader {
  /** What was read and not parsed yet. */
  private waiting?: Buffer;
  /** Memory of the bytes that wait, as reported. */
  private heldBytes = 0;
  private hasEnded = false;
  /** Whether the stream above takes more, by its last slice. */
  private takesMore = true;
  private continuation?: NodeJS.Immediate;
  private readonly push: Socket['push'];
  private readonly readMore: Socket['_read'];

  constructor(
    private readonly socket: Socket,
    private readonly control: ReaderControl,
  ) {
    this.push = socket.push.bind(socket);
    this.readMore = socket._read.bind(socket);
    socket.push = (chunk: Buffer | null) => this.receive(chunk);
    socket._read = (size) => {
      if (this.waiting === undefined) this.readMore(size);
      else this.continue();
    };
    socket.on('resume', () => this.continue());
    socket.once('close', () => {
      clearImmediate(this.continuation);
      this.waiting = undefined;
      this.reportHeld();
    });
  }

  /** Goes on with what waits, in a later turn of the event loop. */
  continue(): void {
    if (this.waiting === undefined || this.continuation !== undefined) return;
    this.continuation = setImmediate(() => {
      this.continuation = undefined;
      this.feedWaiting();
    });
  }

  private feedWaiting(): void {
    if (this.socket.destroyed) return;
    const isParsed = this.feed();
    this.reportHeld();
    if (!isParsed) return;
    if (this.hasEnded) this.push(null);
    else if (this.takesMore) this.readMore(this.socket.readableHighWaterMark);
  }

  /** Takes what was read; returns whether more may be read. */
  private receive(chunk: Buffer | null): boolean {
    const {waiting} = this;
    if (chunk === null) {
      if (waiting === undefined) return this.push(null);
      this.hasEnded = true;
      return false;
    }
    if (waiting === undefined) {
      this.waiting = chunk;
      if (this.feed()) return this.takesMore;
    } else {
      this.waiting = Buffer.concat([waiting, chunk]);
    }
    this.reportHeld();
    return false;
  }

  /** Gives slices to the parser; returns whether nothing waits any more. */
  private feed(): boolean {
    const {socket, control} = this;
    for (let left = this.waiting; left !== undefined; left = this.waiting) {
      if (socket.destroyed || socket.isPaused()) return false;
      if (control.mustWait()) {
        control.onWait(left.length);
        return false;
      }
      const size = Math.max(SLICE_BYTES, control.bodyBytesLeft());
      const isLast = left.length <= size;
      const slice = isLast ? left : left.subarray(0, size);
      this.waiting = isLast ? undefined : left.subarray(size);
      control.onParse(slice.length);
      this.takesMore = this.push(slice);
    }
    return true;
  }

  private reportHeld(): void {
    const heldBytes = this.waiting?.buffer.byteLength ?? 0;
    const change = heldBytes - this.heldBytes;
    this.heldBytes = heldBytes;
    if (change !== 0) this.control.onHeld(change);
  }
}
