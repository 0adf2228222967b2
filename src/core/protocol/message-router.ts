import type {MessageType} from './message-type.js';
import type {Message} from './messages.js';
import type {PeerConnection} from './peer-connection.js';

/** Handles one type of message; responses are sent on `connection`. */
export type MessageHandler<T extends MessageType> = (
  message: Extract<Message, {type: T}>,
  connection: PeerConnection,
) => void;

/** Handles a closed connection, to release state kept for it. */
export type CloseHandler = (connection: PeerConnection) => void;

/**
 * Dispatches messages to the handlers of their types.
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

  /** Adds a handler for closed connections. */
  onClose(handler: CloseHandler): void {
    this.closeHandlers.push(handler);
  }

  /** Dispatches a message; ignores a type without a handler. */
  route(message: Message, connection: PeerConnection): void {
    const handler = this.handlers.get(message.type);
    handler?.(message as never, connection);
  }

  /** Calls the handlers for a closed connection. */
  close(connection: PeerConnection): void {
    for (const handler of this.closeHandlers) handler(connection);
  }
}
