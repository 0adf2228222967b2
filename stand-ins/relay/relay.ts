/** A TCP relay whose connections can be cut, reset or delayed. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

/** Where a relay listens and what it passes bytes to. */
export interface RelayOptions {
  readonly address: string;
  readonly port: number;
  readonly toHost: string;
  readonly toPort: number;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** Passes bytes both ways between a listening port and one destination. */
export class Relay {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  private isCut = false;
  private delayMs = 0;

  constructor(private readonly options: RelayOptions) {
    const settings = {allowHalfOpen: true, pauseOnConnect: true};
    this.server = createServer(settings, (near) => this.accept(near));
  }

  /** The port on which the relay listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Starts to listen.
   *
   * @example
   * await relay.listen();
   */
  listen(): Promise<void> {
    const {address, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Passes nothing on any more, but keeps and accepts connections. */
  cut(): void {
    this.isCut = true;
    for (const {near, far} of this.pairs) {
      near.pause();
      far.pause();
    }
  }

  /** Passes bytes again, those first that were held back by a cut. */
  mend(): void {
    this.isCut = false;
    this.delayMs = 0;
    for (const pair of this.pairs) resume(pair);
  }

  /** Resets all connections; new ones are passed on. */
  reset(): void {
    for (const {near, far} of this.pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Delays each chunk, each way. */
  delay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  close(): Promise<void> {
    this.reset();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(near: Socket): void {
    const {toHost: host, toPort: port} = this.options;
    const far = connect({host, port, allowHalfOpen: true});
    const pair = {near, far};
    this.pairs.add(pair);
    this.forward(pair, near, far);
    this.forward(pair, far, near);
    far.pause();
    if (!this.isCut) resume(pair);
  }

  private forward(pair: Pair, from: Socket, to: Socket): void {
    from.on('data', (chunk) => this.pass(from, to, chunk));
    from.on('end', () => this.later(() => to.end()));
    from.on('error', () => from.destroy());
    from.on('close', () => this.drop(pair, to));
    from.pause();
  }

  private pass(from: Socket, to: Socket, chunk: Buffer): void {
    this.later(() => {
      if (to.destroyed || to.write(chunk)) return;
      from.pause();
      to.once('drain', () => {
        if (!this.isCut) from.resume();
      });
    });
  }

  /** Timers of one delay fire in order, so chunks stay in order. */
  private later(action: () => void): void {
    if (this.delayMs === 0) action();
    else setTimeout(action, this.delayMs);
  }

  private drop(pair: Pair, other: Socket): void {
    // A cut hides from either side that the other one is gone.
    if (this.isCut && !other.destroyed) return;
    this.pairs.delete(pair);
    this.later(() => other.destroy());
  }
}

function resume({near, far}: Pair): void {
  if (near.destroyed) far.destroy();
  if (far.destroyed) near.destroy();
  near.resume();
  far.resume();
}
