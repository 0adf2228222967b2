/** A TCP relay whose connections can be cut, reset or delayed. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import type {LinkState} from './pipe.js';
import {Pipe} from './pipe.js';

/** Which way bytes go through a relay. */
export enum Direction {
  TO_DESTINATION = 'to_destination',
  TO_CALLER = 'to_caller',
}

const BOTH_WAYS = [Direction.TO_DESTINATION, Direction.TO_CALLER];

/** Where a relay listens and what it passes bytes to. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly toHost: string;
  readonly toPort: number;
}

interface Pair {
  readonly sockets: readonly Socket[];
  readonly pipes: Readonly<Record<Direction, Pipe>>;
}

/**
 * Passes bytes both ways between a listening port and one destination.
 *
 * @example
 * const relay = new Relay({address, port: 0, toHost, toPort});
 */
export class Relay {
  private readonly pairs = new Set<Pair>();
  private readonly links: Readonly<Record<Direction, LinkState>> = {
    [Direction.TO_DESTINATION]: {isCut: false, delayMs: 0},
    [Direction.TO_CALLER]: {isCut: false, delayMs: 0},
  };
  private readonly server: Server;

  constructor(private readonly options: RelayOptions) {
    const settings = {allowHalfOpen: true, pauseOnConnect: true};
    this.server = createServer(settings, (near) => this.accept(near));
  }

  /** The port on which the relay listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    const {address, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Passes nothing on any more, but keeps and accepts connections. */
  cut(directions: readonly Direction[] = BOTH_WAYS): void {
    for (const direction of directions) {
      this.links[direction].isCut = true;
      this.pipes(direction).forEach((pipe) => pipe.pause());
    }
  }

  /** Ends cuts and delays; what was held back goes first. */
  restore(): void {
    for (const direction of BOTH_WAYS) {
      Object.assign(this.links[direction], {isCut: false, delayMs: 0});
      this.pipes(direction).forEach((pipe) => pipe.resume());
    }
  }

  /** Resets all connections; new ones are treated as before. */
  reset(): void {
    const sockets = [...this.pairs].flatMap((pair) => pair.sockets);
    sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Delays what is passed on, each way, in milliseconds. */
  delay(delayMs: number): void {
    for (const link of Object.values(this.links)) link.delayMs = delayMs;
  }

  /** Resets all connections and stops listening. */
  close(): Promise<void> {
    this.reset();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(near: Socket): void {
    const {toHost: host, toPort: port} = this.options;
    const far = connect({host, port, allowHalfOpen: true});
    const {TO_DESTINATION, TO_CALLER} = Direction;
    const pipes = {
      [TO_DESTINATION]: new Pipe(near, far, this.links[TO_DESTINATION]),
      [TO_CALLER]: new Pipe(far, near, this.links[TO_CALLER]),
    };
    const pair = {sockets: [near, far], pipes};
    this.pairs.add(pair);
    near.on('close', () => this.forget(pair));
    far.on('close', () => this.forget(pair));
    for (const direction of BOTH_WAYS) {
      if (!this.links[direction].isCut) pipes[direction].resume();
    }
  }

  private forget(pair: Pair): void {
    if (pair.sockets.every((socket) => socket.destroyed)) {
      this.pairs.delete(pair);
    }
  }

  private pipes(direction: Direction): Pipe[] {
    return [...this.pairs].map((pair) => pair.pipes[direction]);
  }
}
