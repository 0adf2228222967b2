/** A client with one connection, whose responses are bounded in memory. */
import type {Dispatcher} from 'undici';
import {Client} from 'undici';

import type {MemoryBudget} from '../core/bytes/index.js';
import type {BoundedSocket} from './bounded-socket.js';
import {createConnector} from './http-connector.js';
import {SocketHolder, watchResponse} from './watched-handler.js';

/** Options of a client beside those of undici. */
export interface BoundedClientOptions extends Omit<Client.Options, 'connect'> {
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Bytes that one response may take on the connection, before grants. */
  readonly responseBytes: number;
  /** Where the memory of header lines is reserved; by default nowhere. */
  readonly memory?: MemoryBudget;
}

/**
 * Tells its socket where heads, bodies and responses end, so that the socket can
 * bound the header lines that undici's parser keeps.
 *
 * @example
 * const client = new BoundedClient('http://127.0.0.1:80', {
 *   connectTimeoutMs: 150,
 *   responseBytes: 65_536,
 * });
 */
export class BoundedClient extends Client {
  private readonly holder: SocketHolder;

  constructor(origin: string | URL, options: BoundedClientOptions) {
    const {connectTimeoutMs, responseBytes, memory, ...rest} = options;
    const holder = new SocketHolder();
    const connect = createConnector({
      timeoutMs: connectTimeoutMs,
      responseBytes,
      memory,
      onConnected: (socket) => (holder.socket = socket),
    });
    super(origin, {...rest, connect});
    this.holder = holder;
    this.on('disconnect', () => (holder.socket = undefined));
  }

  /** The socket while it is connected; undefined with TLS. */
  get socket(): BoundedSocket | undefined {
    return this.holder.socket;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, watchResponse(handler, this.holder));
  }
}
