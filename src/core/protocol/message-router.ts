import type {Message, MessageType} from './messages.js';
import type {PeerConnection} from './peer-connection.js';

/** Handles one type of message; `connection` takes the answers. */
export type MessageHandler<T extends MessageType> = (
  message: Extract<Message, {type: T}>,
  connection: PeerConnection,
) => void;

/** What becomes of a connection, for handlers that keep state of it. */
export type CloseHandler = (connection: PeerConnection) => void;

/**
 * Hands messages to the handlers of their types.
 *
 * @example
 * router.on(MessageType.CONFIG, (message) => controller.accept(message));
 */
export class MessageRouter {
  private readonly handlers = new Map<MessageType, MessageHandler<never>>();
  private readonly closeHandlers: CloseHandler[] = [];

  /** Sets the handler of a type. */
  on<T extends MessageType>(type: T, handler: MessageHandler<T>): void {
    this.handlers.set(type, handler as unknown as MessageHandler<never>);
  }

  /** Adds a handler of closed connections. */
  onClose(handler: CloseHandler): void {
    this.closeHandlers.push(handler);
  }

  /** Handles a message; one without a handler is ignored. */
  route(message: Message, connection: PeerConnection): void {
    const handler = this.handlers.get(message.type);
    handler?.(message as never, connection);
  }

  /** Tells that a connection is closed. */
  close(connection: PeerConnection): void {
    for (const handler of this.closeHandlers) handler(connection);
  }
}
