/** A client with one connection, whose responses are bounded in memory. */
import type {Dispatcher} from 'undici';
import {Client} from 'undici';

import type {MemoryBudget} from '../core/bytes/index.js';
import type {BoundedSocket} from './bounded-socket.js';
import {TOO_MANY_LINES_DETAIL} from './bounded-socket.js';
import {createConnector} from './http-connector.js';
import {MAX_KEPT_LINES} from './kept-lines.js';

const FIRST_FINAL_STATUS = 200;

/** Options of a client beside those of undici. */
export interface BoundedClientOptions extends Omit<Client.Options, 'connect'> {
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Bytes that one response may take on the connection, before grants. */
  readonly responseBytes: number;
  /** Where the memory of header lines is reserved; by default nowhere. */
  readonly memory?: MemoryBudget;
}

/** Holds the socket of a client, which is created before the client is. */
class SocketHolder {
  socket?: BoundedSocket;
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

/** Arguments of a callback of a handler. */
type CallbackArguments = readonly unknown[];

/** What a callback of undici, in its older or newer form, tells a socket. */
const RECORDERS: Readonly<
  Record<string, (socket: BoundedSocket, args: CallbackArguments) => void>
> = {
  onHeaders: (socket, [status, fields]) =>
    recordHead(socket, status as number, fields as readonly unknown[]),
  onResponseStart: (socket, [controller, status]) => {
    const {rawHeaders} = controller as Dispatcher.DispatchController;
    recordHead(socket, status as number, rawHeaders as readonly unknown[]);
  },
  onData: (socket, [piece]) => socket.recordBody(piece as Uint8Array),
  onResponseData: (socket, [, piece]) => socket.recordBody(piece as Uint8Array),
  onComplete: (socket) => socket.endResponse(),
  onResponseEnd: (socket) => socket.endResponse(),
};

/** Forwards all callbacks, as handlers of both forms come from undici itself. */
function watchResponse(
  handler: Dispatcher.DispatchHandler,
  holder: SocketHolder,
): Dispatcher.DispatchHandler {
  return new Proxy(handler, {
    get: (target, name) => {
      const callback: unknown = Reflect.get(target, name);
      if (typeof callback !== 'function') return callback;
      const record = RECORDERS[String(name)];
      return (...args: unknown[]): unknown => {
        if (holder.socket !== undefined) record?.(holder.socket, args);
        return Reflect.apply(callback, target, args);
      };
    },
  });
}

/** Throws if there are too many fields, which fails the request. */
function recordHead(
  socket: BoundedSocket,
  status: number,
  rawFields: readonly unknown[],
): void {
  const fields = rawFields.length / 2;
  if (fields > MAX_KEPT_LINES) throw new Error(TOO_MANY_LINES_DETAIL);
  if (status < FIRST_FINAL_STATUS) socket.endInformational(fields);
  else socket.endHead(fields);
}
