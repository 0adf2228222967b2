/** A TCP relay whose connections can be cut, reset or delayed. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import type {LinkState} from './pipe.js';
import {Pipe} from './pipe.js';

/** Where a relay listens and what it passes bytes to. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly toHost: string;
  readonly toPort: number;
}

interface Pair {
  readonly sockets: readonly Socket[];
  readonly pipes: readonly Pipe[];
}

/**
 * Passes bytes both ways between a listening port and one destination.
 *
 * @example
 * const relay = new Relay({address, port: 0, toHost, toPort});
 */
export class Relay {
  private readonly pairs = new Set<Pair>();
  private readonly link: LinkState = {isCut: false, delayMs: 0};
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
  cut(): void {
    this.link.isCut = true;
    this.pipes().forEach((pipe) => pipe.pause());
  }

  /** Ends a cut and a delay; what was held back goes first. */
  mend(): void {
    this.link.isCut = false;
    this.link.delayMs = 0;
    this.pipes().forEach((pipe) => pipe.resume());
  }

  /** Resets all connections; new ones are treated as before. */
  reset(): void {
    const sockets = [...this.pairs].flatMap((pair) => pair.sockets);
    sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Delays what is passed on, each way, in milliseconds. */
  delay(delayMs: number): void {
    this.link.delayMs = delayMs;
  }

  /** Resets all connections and stops listening. */
  close(): Promise<void> {
    this.reset();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(near: Socket): void {
    const {toHost: host, toPort: port} = this.options;
    const far = connect({host, port, allowHalfOpen: true});
    const pipes = [
      new Pipe(near, far, this.link),
      new Pipe(far, near, this.link),
    ];
    const pair = {sockets: [near, far], pipes};
    this.pairs.add(pair);
    near.on('close', () => this.forget(pair));
    far.on('close', () => this.forget(pair));
    if (!this.link.isCut) pipes.forEach((pipe) => pipe.resume());
  }

  private forget(pair: Pair): void {
    if (pair.sockets.every((socket) => socket.destroyed)) {
      this.pairs.delete(pair);
    }
  }

  private pipes(): Pipe[] {
    return [...this.pairs].flatMap((pair) => pair.pipes);
  }
}
