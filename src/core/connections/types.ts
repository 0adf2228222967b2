/** Connections of clients, as the bounds of a process see them. */

/** What a connection is used for, in the order in which it is closed. */
export enum ConnectionUse {
  /** Its client does not read the response that was written to it. */
  STALLED = 0,
  /** No request was read from it completely yet. */
  UNPROVEN = 1,
  /** It has served requests and serves none now. */
  IDLE = 2,
  /** It is so new that its first request may be on its way. */
  NEW = 3,
  /** It connects another process of the system. */
  PEER = 4,
  /** A request that was read completely is being served. */
  BUSY = 5,
}

/** Why a connection was closed by a bound. */
export enum CloseReason {
  /** Its client did not read a response in time. */
  UNREAD = 'unread',
  /** It made room for a new connection. */
  DISPLACED = 'displaced',
  /** It was new, and no other could be closed for it. */
  NO_ROOM = 'no_room',
  /** Its client had sent too much ahead. */
  SENT_AHEAD = 'sent_ahead',
}

/** A connection that was accepted. */
export interface BoundedConnection {
  use(nowMs: number): ConnectionUse;
  /** When it was last of use, on the monotonic clock, in milliseconds. */
  readonly usedAtMs: number;
  /** Since when no byte of a response was read; undefined if none is unread. */
  unreadSince(nowMs: number): number | undefined;
  close(): void;
}

/** Bounds of all connections of a process together. */
export interface ConnectionLimits {
  /** Largest number of open connections that were accepted. */
  readonly maxConnections: number;
  /** Bytes that may be read ahead of the requests that are being served. */
  readonly maxAheadBytes: number;
  /** The same for one connection, which is closed after its response. */
  readonly maxConnectionAheadBytes: number;
  /** Time within which a client reads a part of its response, in ms. */
  readonly unreadTimeoutMs: number;
}
