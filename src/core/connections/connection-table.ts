/** Bounds the connections that a process has accepted, on all its ports. */
import type {Clock, TimerHandle} from '../clock/index.js';
import type {Logger} from '../logs/index.js';
import type {Metrics} from '../metrics/index.js';
import {CounterName} from '../metrics/index.js';
import {CHECK_INTERVAL_MS, LOG_INTERVAL_MS} from './consts.js';
import type {BoundedConnection, ConnectionLimits} from './types.js';
import {CloseReason, ConnectionUse} from './types.js';

/**
 * All accepted connections of a process. Under load of more connections than
 * the process may have, the one that is worth least is closed for a new one.
 *
 * @example
 * const table = new ConnectionTable({limits, clock, metrics, logger});
 * if (table.add(connection)) serve(connection);
 */
export class ConnectionTable {
  private readonly connections = new Set<BoundedConnection>();
  private aheadBytes = 0;
  private timer?: TimerHandle;
  private closedSinceLog = 0;
  private loggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: {
      limits: ConnectionLimits;
      clock: Clock;
      metrics: Metrics;
      logger: Logger;
    },
  ) {
    const labels = Object.values(CloseReason);
    const name = CounterName.CLIENT_CONNECTIONS_CLOSED;
    options.metrics.declareLabels({name, labels});
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Adds a new connection; closes it and returns false if there is no room. */
  add(connection: BoundedConnection): boolean {
    if (!this.makeRoom()) {
      this.close(connection, CloseReason.NO_ROOM);
      return false;
    }
    this.connections.add(connection);
    this.timer ??= this.options.clock.repeat({
      periodMs: CHECK_INTERVAL_MS,
      run: () => this.closeUnread(),
    });
    return true;
  }

  /** Forgets a connection that is closed. */
  remove(connection: BoundedConnection): void {
    this.connections.delete(connection);
    if (this.connections.size > 0) return;
    this.timer?.cancel();
    this.timer = undefined;
  }

  get limits(): ConnectionLimits {
    return this.options.limits;
  }

  /** Counts bytes that were sent ahead; false if they are too many now. */
  holdAhead(bytes: number): boolean {
    this.aheadBytes += bytes;
    return bytes < 0 || this.aheadBytes <= this.options.limits.maxAheadBytes;
  }

  /** Closes a connection for a reason that is counted. */
  close(connection: BoundedConnection, reason: CloseReason): void {
    const {metrics} = this.options;
    const name = CounterName.CLIENT_CONNECTIONS_CLOSED;
    metrics.count(name, {label: reason});
    this.connections.delete(connection);
    connection.close();
    this.logClosed(reason);
  }

  private makeRoom(): boolean {
    if (this.connections.size < this.options.limits.maxConnections) return true;
    const least = this.findLeast();
    if (least === undefined) return false;
    this.close(least, CloseReason.DISPLACED);
    return true;
  }

  /** The connection that is worth least; undefined if all are busy. */
  private findLeast(): BoundedConnection | undefined {
    const nowMs = this.options.clock.now();
    let least: BoundedConnection | undefined;
    let leastUse = ConnectionUse.BUSY;
    for (const connection of this.connections) {
      const use = connection.use(nowMs);
      if (use > leastUse || use === ConnectionUse.BUSY) continue;
      const isLess =
        least === undefined ||
        use < leastUse ||
        connection.usedAtMs < least.usedAtMs;
      if (!isLess) continue;
      least = connection;
      leastUse = use;
    }
    return least;
  }

  private closeUnread(): void {
    const {clock, limits} = this.options;
    const nowMs = clock.now();
    const earliestMs = nowMs - limits.unreadTimeoutMs;
    for (const connection of [...this.connections]) {
      const sinceMs = connection.unreadSince(nowMs);
      if (sinceMs !== undefined && sinceMs < earliestMs)
        this.close(connection, CloseReason.UNREAD);
    }
  }

  private logClosed(reason: CloseReason): void {
    const {clock, logger} = this.options;
    this.closedSinceLog++;
    const nowMs = clock.now();
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    const closed = this.closedSinceLog;
    this.closedSinceLog = 0;
    logger.warn('connections of clients closed', {
      reason,
      closed,
      open: this.connections.size,
    });
  }
}
