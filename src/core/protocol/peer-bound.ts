/** A peer's connection, within the bounds of its process. */
import type {Socket} from 'node:net';

import type {Clock} from '../clock/index.js';
import type {BoundedConnection} from '../connections/index.js';
import {ConnectionUse} from '../connections/index.js';

/**
 * Tells the use of a connection that another process has opened. A sender that
 * reads too slowly is closed by its PeerConnection.
 *
 * @example
 * const bound = new PeerBound({socket, clock});
 * if (table.add(bound)) serve(socket);
 */
export class PeerBound implements BoundedConnection {
  usedAtMs: number;
  private isProven = false;

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

  unreadSince(): undefined {
    return undefined;
  }

  close(): void {
    this.options.socket.destroy();
  }
}
