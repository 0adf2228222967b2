/** A connection that another process opened to this entry. */
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  ConnectionListener,
  Message,
  MessageRouter,
  PeerConnection,
  TransportError,
} from '../../core/protocol/index.js';

/** Hands what a peer says to the entry's router. */
export class PeerSession implements ConnectionListener {
  constructor(
    private readonly options: {router: MessageRouter; metrics: Metrics},
    private readonly connection: () => PeerConnection,
  ) {}

  onReady(): void {
    // A peer speaks first; there is nothing to tell it unasked.
  }

  onMessage(message: Message): void {
    this.options.router.route(message, this.connection());
  }

  onDrain(): void {
    // Answers to peers are bounded by the send buffer of the connection.
  }

  onClose(err: TransportError): void {
    this.options.router.close(this.connection());
    this.options.metrics.count(CounterName.CONNECTIONS_CLOSED, {
      label: err.kind,
    });
  }
}
