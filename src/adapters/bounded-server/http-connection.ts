/** A client's connection to an HTTP server, within bounds. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock} from '../../core/clock/index.js';
import type {
  BoundedConnection,
  ConnectionTable,
} from '../../core/connections/index.js';
import {
  CloseReason,
  ConnectionUse,
  NEW_CONNECTION_MS,
} from '../../core/connections/index.js';
import type {ReaderControl} from './bounded-reader.js';
import {BoundedReader} from './bounded-reader.js';
import {STALL_MS} from './consts.js';

/**
 * Tracks the requests of one connection, of which one at a time is served.
 * Those that came with it wait; the rest is not read.
 *
 * @example
 * const connection = new HttpConnection({socket, table, clock});
 * connection.track(req, res);
 */
export class HttpConnection implements BoundedConnection, ReaderControl {
  usedAtMs: number;
  private readonly reader: BoundedReader;
  /** Responses that are not sent completely. */
  private readonly open = new Set<ServerResponse>();
  private hasServed = false;
  /** Whether so much was sent ahead that it is not served any more. */
  private isEnding = false;
  private readonly openedAtMs: number;
  /** The request that was read last. */
  private latest?: IncomingMessage;
  /** Bytes that followed the slice with the end of the latest head. */
  private parsedBytes = 0;
  private declaredBytes = 0;
  private unreadAtMs?: number;
  private readBytes = 0;

  constructor(
    private readonly options: {
      socket: Socket;
      table: ConnectionTable;
      clock: Clock;
    },
  ) {
    const {socket, table, clock} = options;
    this.openedAtMs = clock.now();
    this.usedAtMs = this.openedAtMs;
    this.reader = new BoundedReader(socket, this);
    socket.once('close', () => {
      table.remove(this);
      this.endWaiting();
    });
  }

  /** Begins to serve a request whose head was read. */
  track(req: IncomingMessage, res: ServerResponse): void {
    this.usedAtMs = this.options.clock.now();
    this.open.add(res);
    this.latest = req;
    this.parsedBytes = 0;
    this.declaredBytes = Number(req.headers['content-length'] ?? 0);
    res.once('close', () => {
      this.open.delete(res);
      this.endRequest();
    });
  }

  use(nowMs: number): ConnectionUse {
    const unreadMs = nowMs - (this.unreadSince(nowMs) ?? nowMs);
    if (unreadMs > STALL_MS) return ConnectionUse.STALLED;
    if (this.mustWait()) return ConnectionUse.BUSY;
    if (this.hasServed) return ConnectionUse.IDLE;
    const isNew = nowMs - this.openedAtMs < NEW_CONNECTION_MS;
    return isNew ? ConnectionUse.NEW : ConnectionUse.UNPROVEN;
  }

  unreadSince(nowMs: number): number | undefined {
    const {socket} = this.options;
    if (socket.writableLength === 0) return (this.unreadAtMs = undefined);
    const unsentBytes = socket.writableLength + queuedBytesOf(socket);
    const readBytes = socket.bytesWritten - unsentBytes;
    if (readBytes !== this.readBytes) this.unreadAtMs = undefined;
    this.readBytes = readBytes;
    return (this.unreadAtMs ??= nowMs);
  }

  close(): void {
    const {socket} = this.options;
    // The end of a connection may look like the end of a response.
    if (this.open.size > 0) socket.resetAndDestroy();
    else socket.destroy();
  }

  /** Whether the request that was read last is being served. */
  mustWait(): boolean {
    return this.open.size > 0 && this.latest?.complete === true;
  }

  bodyBytesLeft(): number {
    if (this.latest === undefined || this.latest.complete) return 0;
    return this.declaredBytes - this.parsedBytes;
  }

  onParse(bytes: number): void {
    this.parsedBytes += bytes;
  }

  onHeld(bytes: number): void {
    const {socket, table} = this.options;
    if (table.holdAhead(bytes) || socket.destroyed) return;
    table.close(this, CloseReason.SENT_AHEAD);
  }

  onWait(bytes: number): void {
    const {maxConnectionAheadBytes} = this.options.table.limits;
    if (bytes > maxConnectionAheadBytes) this.isEnding = true;
  }

  /** Node.js reports no end of a response that waits for another one. */
  private endWaiting(): void {
    for (const res of [...this.open])
      if (res.socket === null) res.emit('close');
  }

  private endRequest(): void {
    this.hasServed = true;
    this.usedAtMs = this.options.clock.now();
    const {socket, table} = this.options;
    if (this.open.size > 0 || socket.destroyed) return;
    if (this.isEnding) table.close(this, CloseReason.SENT_AHEAD);
    else this.reader.continue();
  }
}

/** Node's private handle, which knows how much of a write is not taken yet. */
interface SocketHandle {
  readonly writeQueueSize?: number;
}

/** Bytes of begun writes that the system has not taken. */
function queuedBytesOf(socket: Socket): number {
  const withHandle = socket as Socket & {
    readonly _handle?: SocketHandle | null;
  };
  return withHandle._handle?.writeQueueSize ?? 0;
}
