/** Accepts connections from peers. */
import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import {okAsync, ResultAsync} from 'neverthrow';

import type {Clock} from '../clock/index.js';
import type {ConnectionTable} from '../connections/index.js';
import type {Logger} from '../logs/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import {createTransportError} from './frame-codec.js';
import {listenOnce, listenWhenFree} from './listen-when-free.js';
import type {HelloMessage} from './messages.js';
import type {ConnectionListener} from './peer-connection.js';
import {PeerConnection} from './peer-connection.js';
import {PeerBound} from './peer-bound.js';
import type {TransportError} from './types.js';
import {TransportErrorKind} from './types.js';

/**
 * Creates the listener of a new connection. The connection is created after its
 * listener, so `connection` may be called only once the connection has events.
 */
export type ListenerFactory = (
  connection: () => PeerConnection,
) => ConnectionListener;

/**
 * Listens for peers and creates a PeerConnection for each.
 *
 * @example
 * const server = new PeerServer({hello, clock, createListener});
 * await server.listen({address: '127.0.0.1', port: 0});
 */
export class PeerServer {
  private readonly server: Server;
  private readonly connections = new Set<PeerConnection>();

  constructor(
    private readonly options: {
      hello: HelloMessage;
      clock: Clock;
      createListener: ListenerFactory;
      /** Bounds the connections of the process; none by default. */
      table?: ConnectionTable;
      /** Largest frame of a peer; `MAX_FRAME_BYTES` by default. */
      maxFrameBytes?: number;
      /** Whether peers are handled a little at a time; not by default. */
      isPaced?: boolean;
      /** Holds failures of the listeners; without it they reach the socket. */
      supervisor?: Supervisor;
    },
  ) {
    this.server = createServer((socket) => this.acceptOrClose(socket));
    // Without a listener, an accept that fails for want of descriptors would end
    // the process.
    this.server.on('error', () => undefined);
  }

  /** Starts listening and returns the port; may be repeated after an error. */
  listen(options: {
    address: string;
    port: number;
    /** Waits for an address in use and says so here; fails without it. */
    logger?: Logger;
  }): ResultAsync<number, TransportError> {
    const {logger, port} = options;
    const {clock} = this.options;
    const {server} = this;
    const address = {host: options.address, port};
    const listening =
      logger === undefined
        ? listenOnce(server, address)
        : listenWhenFree({server, addressOf: () => address, clock, logger});
    return ResultAsync.fromPromise(listening, (cause) =>
      createTransportError(TransportErrorKind.CONNECT_FAILED, String(cause)),
    );
  }

  /** Bytes that are buffered but not sent yet, over all connections. */
  countUnsentBytes(): number {
    let bytes = 0;
    for (const connection of this.connections)
      bytes += connection.unsentBytes();
    return bytes;
  }

  /** Stops listening and closes each connection once it is flushed. */
  close(): ResultAsync<void, never> {
    this.server.close();
    for (const connection of this.connections) connection.end();
    return okAsync(undefined);
  }

  private acceptOrClose(socket: Socket): void {
    const {supervisor} = this.options;
    const accept = () => this.accept(socket);
    const onFailure = () => void socket.destroy();
    if (supervisor === undefined) accept();
    else supervisor.run({name: TaskName.PEERS, onFailure}, accept);
  }

  private accept(socket: Socket): void {
    const {hello, clock, createListener, supervisor} = this.options;
    const {table, maxFrameBytes, isPaced} = this.options;
    const bound = new PeerBound({socket, clock});
    if (table?.add(bound) === false) return;
    const inner = createListener(() => connection);
    const listener: ConnectionListener = {
      onReady: (peer) => inner.onReady(peer),
      onMessage: (message) => {
        bound.prove();
        inner.onMessage(message);
      },
      onFrameProgress: () => inner.onFrameProgress?.(),
      onDrain: () => inner.onDrain(),
      onClose: (err) => {
        this.connections.delete(connection);
        table?.remove(bound);
        inner.onClose(err);
      },
    };
    const connection = new PeerConnection({
      socket,
      hello,
      clock,
      listener,
      maxFrameBytes,
      isPaced,
      supervisor,
    });
    this.connections.add(connection);
  }
}
