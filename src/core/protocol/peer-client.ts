/** Keeps a connection to one peer and reconnects when it breaks. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';

import type {Clock, RandomSource, TimerHandle} from '../clock/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import {
  CONNECT_TIMEOUT_MS,
  RECONNECT_MAX_MS,
  RECONNECT_MIN_MS,
} from './consts.js';
import type {HelloMessage, Message} from './messages.js';
import type {ConnectionListener} from './peer-connection.js';
import {PeerConnection} from './peer-connection.js';
import type {TransportError} from './types.js';

const BACKOFF_FACTOR = 2;

/** Address on which a peer listens. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * A connection to one peer that is reestablished with backoff after it closes.
 *
 * @example
 * const client = new PeerClient({peer, hello, clock, random, listener});
 * client.start();
 */
export class PeerClient {
  private connection: PeerConnection | undefined;
  private retryTimer: TimerHandle | undefined;
  private backoffMs = RECONNECT_MIN_MS;
  private ready = false;
  private stopped = false;

  constructor(
    private readonly options: {
      peer: PeerAddress;
      hello: HelloMessage;
      clock: Clock;
      random: RandomSource;
      listener: ConnectionListener;
      /** Holds failures of the listener; without it they reach the socket. */
      supervisor?: Supervisor;
    },
  ) {}

  start(): void {
    this.dial();
  }

  /**
   * Sends a message; returns false if not connected or if the peer reads
   * slowly.
   */
  send(message: Message): boolean {
    if (!this.ready || this.connection === undefined) return false;
    return this.connection.send(message);
  }

  isReady(): boolean {
    return this.ready;
  }

  /** Bytes received and sent on the current connection. */
  bytes(): {received: number; sent: number} {
    return this.connection?.bytes() ?? {received: 0, sent: 0};
  }

  /** Closes the current connection; a reconnect follows. */
  reset(detail: string): void {
    this.connection?.destroy(detail);
  }

  stop(): void {
    this.stopped = true;
    this.retryTimer?.cancel();
    this.connection?.destroy('stopped');
  }

  private dial(): void {
    let socket: Socket | undefined;
    this.run(
      () => {
        const {address, port} = this.options.peer;
        socket = connect({host: address, port});
        this.connection = this.createConnection(socket);
      },
      () => {
        socket?.destroy();
        this.dialLater();
      },
    );
  }

  private createConnection(socket: Socket): PeerConnection {
    const {hello, clock, supervisor} = this.options;
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy(new Error('connect timeout'));
    });
    socket.once('connect', () => socket.setTimeout(0));
    const listener: ConnectionListener = {
      onReady: (message) => this.handleReady(message),
      onMessage: (message) => this.options.listener.onMessage(message),
      onFrameProgress: () => this.options.listener.onFrameProgress?.(),
      onDrain: () => this.options.listener.onDrain(),
      onClose: (err) => this.handleClose(err),
    };
    return new PeerConnection({socket, hello, clock, listener, supervisor});
  }

  private handleReady(message: HelloMessage): void {
    this.ready = true;
    this.options.listener.onReady(message);
    this.backoffMs = RECONNECT_MIN_MS;
  }

  private handleClose(err: TransportError): void {
    this.ready = false;
    this.connection = undefined;
    this.run(() => this.options.listener.onClose(err));
    this.dialLater();
  }

  private dialLater(): void {
    if (this.stopped) return;
    this.retryTimer = this.options.clock.schedule({
      delayMs: this.nextBackoffMs(),
      run: () => this.dial(),
    });
  }

  private run(work: () => void, onFailure?: () => void): void {
    const {supervisor} = this.options;
    if (supervisor === undefined) work();
    else supervisor.run({name: TaskName.PEERS, onFailure}, work);
  }

  private nextBackoffMs(): number {
    const delayMs = this.backoffMs * (0.5 + this.options.random.float() / 2);
    const doubled = this.backoffMs * BACKOFF_FACTOR;
    this.backoffMs = Math.min(doubled, RECONNECT_MAX_MS);
    return delayMs;
  }
}
