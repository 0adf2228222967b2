/** A peer's connection, within the bounds of its process. */
import type {Socket} from 'node:net';

import type {Clock} from '../clock/index.js';
import type {BoundedConnection} from '../connections/index.js';
import {ConnectionUse} from '../connections/index.js';

/**
 * Tells the use of a connection that another process has opened. A peer that
 * leaves too many bytes unread is closed by its PeerConnection.
 *
 * @example
 * const bound = new PeerBound({socket, clock});
 * if (table.add(bound)) serve(socket);
 */
export class PeerBound implements BoundedConnection {
  usedAtMs: number;
  private isProven = false;
  private unreadAtMs?: number;
  /** Bytes that the system has taken, at the last look. */
  private takenBytes = 0;

  constructor(private readonly options: {socket: Socket; clock: Clock}) {
    this.usedAtMs = options.clock.now();
  }

  /** A message other than HELLO has arrived. */
  prove(): void {
    this.isProven = true;
    this.usedAtMs = this.options.clock.now();
  }

  use(): ConnectionUse {
    return this.isProven ? ConnectionUse.PEER : ConnectionUse.UNPROVEN;
  }

  unreadSince(nowMs: number): number | undefined {
    const {socket} = this.options;
    if (socket.writableLength === 0) return (this.unreadAtMs = undefined);
    const takenBytes = socket.bytesWritten - socket.writableLength;
    if (takenBytes !== this.takenBytes) this.unreadAtMs = undefined;
    this.takenBytes = takenBytes;
    return (this.unreadAtMs ??= nowMs);
  }

  close(): void {
    this.options.socket.destroy();
  }
}
