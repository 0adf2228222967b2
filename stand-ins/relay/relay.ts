/** A TCP relay whose connections can be cut, reset or delayed. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import type {LinkState} from './pipe.js';
import {Pipe} from './pipe.js';

/** Direction of data through a relay. */
export enum Direction {
  TO_DESTINATION = 'to_destination',
  TO_CALLER = 'to_caller',
}

const BOTH_WAYS = [Direction.TO_DESTINATION, Direction.TO_CALLER];

/** Listening address and destination of a relay. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly toHost: string;
  readonly toPort: number;
}

interface Connection {
  readonly sockets: readonly Socket[];
  readonly pipes: Readonly<Record<Direction, Pipe>>;
}

/**
 * Forwards connections from a listening port to one destination.
 *
 * @example
 * const relay = new Relay({address, port: 0, toHost, toPort});
 */
export class Relay {
  private readonly connections = new Set<Connection>();
  private readonly links: Readonly<Record<Direction, LinkState>> = {
    [Direction.TO_DESTINATION]: {isCut: false, delayMs: 0},
    [Direction.TO_CALLER]: {isCut: false, delayMs: 0},
  };
  private readonly server: Server;

  constructor(private readonly options: RelayOptions) {
    const settings = {allowHalfOpen: true, pauseOnConnect: true};
    this.server = createServer(settings, (socket) => this.accept(socket));
  }

  /** Port that the relay listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts listening. */
  listen(): Promise<void> {
    const {address, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Stops forwarding; connections stay open and new ones are accepted. */
  cut(directions: readonly Direction[] = BOTH_WAYS): void {
    for (const direction of directions) {
      this.links[direction].isCut = true;
      this.pipes(direction).forEach((pipe) => pipe.pause());
    }
  }

  /** Ends cuts and delays and forwards data that was held back. */
  restore(): void {
    for (const direction of BOTH_WAYS) {
      Object.assign(this.links[direction], {isCut: false, delayMs: 0});
      this.pipes(direction).forEach((pipe) => pipe.resume());
    }
  }

  /** Resets all open connections; cuts and delays stay in effect. */
  reset(): void {
    const sockets = [...this.connections].flatMap(
      (connection) => connection.sockets,
    );
    sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Delays forwarded data in each direction, in milliseconds. */
  delay(delayMs: number): void {
    for (const link of Object.values(this.links)) link.delayMs = delayMs;
  }

  /** Resets all connections and stops listening. */
  close(): Promise<void> {
    this.reset();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(callerSocket: Socket): void {
    const {toHost: host, toPort: port} = this.options;
    const destinationSocket = connect({host, port, allowHalfOpen: true});
    const {TO_DESTINATION, TO_CALLER} = Direction;
    const pipes = {
      [TO_DESTINATION]: new Pipe(
        callerSocket,
        destinationSocket,
        this.links[TO_DESTINATION],
      ),
      [TO_CALLER]: new Pipe(
        destinationSocket,
        callerSocket,
        this.links[TO_CALLER],
      ),
    };
    const connection = {sockets: [callerSocket, destinationSocket], pipes};
    this.connections.add(connection);
    callerSocket.on('close', () => this.removeIfClosed(connection));
    destinationSocket.on('close', () => this.removeIfClosed(connection));
    for (const direction of BOTH_WAYS) {
      if (!this.links[direction].isCut) pipes[direction].resume();
    }
  }

  private removeIfClosed(connection: Connection): void {
    if (connection.sockets.every((socket) => socket.destroyed)) {
      this.connections.delete(connection);
    }
  }

  private pipes(direction: Direction): Pipe[] {
    return [...this.connections].map(
      (connection) => connection.pipes[direction],
    );
  }
}
