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

/** Passes the messages of a peer to the entry's router. */
export class PeerSession implements ConnectionListener {
  constructor(
    private readonly options: {router: MessageRouter; metrics: Metrics},
    private readonly connection: () => PeerConnection,
  ) {}

  onReady(): void {
    // The peer sends the first message; this side only responds.
  }

  onMessage(message: Message): void {
    this.options.router.route(message, this.connection());
  }

  onDrain(): void {
    // Responses are bounded by the connection's send buffer.
  }

  onClose(err: TransportError): void {
    this.options.router.close(this.connection());
    this.options.metrics.count(CounterName.CONNECTIONS_CLOSED, {
      label: err.kind,
    });
  }
}
