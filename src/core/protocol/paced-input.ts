/** Hands over what a peer has sent a little at a time. */
import type {Socket} from 'node:net';

import {SLICE_BYTES, UNREAD_SLICES} from './consts.js';

/**
 * Slices what a socket has read, one slice in each turn of the event loop, so
 * that a peer that sends ahead leaves time to the others. Nothing is handed over
 * or read while answers are unread for longer than a few slices.
 *
 * @example
 * const input = new PacedInput({socket, receive});
 * socket.on('data', (chunk) => input.push(chunk));
 */
export class PacedInput {
  private waiting?: Buffer;
  private continuation?: NodeJS.Immediate;
  /** Slices handed over since answers are unread. */
  private unreadSlices = 0;

  constructor(
    private readonly options: {
      socket: Socket;
      /** Called with each slice. */
      receive: (slice: Buffer) => void;
    },
  ) {
    const {socket} = options;
    socket.on('drain', () => this.continue());
    socket.once('close', () => {
      clearImmediate(this.continuation);
      this.waiting = undefined;
    });
  }

  /** Takes what was read. */
  push(chunk: Buffer): void {
    const {waiting} = this;
    this.waiting =
      waiting === undefined ? chunk : Buffer.concat([waiting, chunk]);
    if (this.continuation === undefined && !this.mustWait()) this.feed();
    else this.options.socket.pause();
  }

  private continue(): void {
    if (this.waiting === undefined || this.continuation !== undefined) return;
    this.continuation = setImmediate(() => {
      this.continuation = undefined;
      if (!this.mustWait()) this.feed();
    });
  }

  private feed(): void {
    const {socket, receive} = this.options;
    const {waiting} = this;
    if (waiting === undefined) return;
    const isLast = waiting.length <= SLICE_BYTES;
    this.waiting = isLast ? undefined : waiting.subarray(SLICE_BYTES);
    receive(isLast ? waiting : waiting.subarray(0, SLICE_BYTES));
    if (socket.destroyed) return;
    this.countUnread();
    if (isLast) {
      socket.resume();
      return;
    }
    socket.pause();
    this.continue();
  }

  private countUnread(): void {
    const isUnread = this.options.socket.writableNeedDrain;
    this.unreadSlices = isUnread ? this.unreadSlices + 1 : 0;
  }

  private mustWait(): boolean {
    const {writableNeedDrain, writableEnded} = this.options.socket;
    // Nothing drains once the socket is ended.
    const isUnread = writableNeedDrain && !writableEnded;
    return isUnread && this.unreadSlices >= UNREAD_SLICES;
  }
}
