/** Puts an HTTP server under the bounds of its process. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock} from '../../core/clock/index.js';
import type {ConnectionTable} from '../../core/connections/index.js';
import {HttpConnection} from './http-connection.js';

/**
 * Bounds what the clients of a server can make it hold: one request at a time
 * and a few that came with it on each connection, and the connections of all
 * servers that share the table. Call it once, before the server listens.
 *
 * @example
 * boundServer(createServer(handle), {table, clock});
 */
export function boundServer(
  server: Server,
  options: {table: ConnectionTable; clock: Clock},
): void {
  const {table} = options;
  const connections = new WeakMap<Socket, HttpConnection>();
  server.on('connection', (socket: Socket) => {
    const connection = new HttpConnection({socket, ...options});
    connections.set(socket, connection);
    table.add(connection);
    // A listener in JavaScript takes the bytes from the parser's own reader.
    socket.on('data', ignore);
  });
  server.prependListener('request', (req, res) =>
    connections.get(req.socket)?.track(req, res),
  );
}

function ignore(): void {
  // The parser has its own listener.
}
