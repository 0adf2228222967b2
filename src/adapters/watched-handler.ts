/** Handlers of undici that tell a socket what its parser has read. */
import type {Duplex} from 'node:stream';

import type {Dispatcher} from 'undici';

import type {BoundedSocket} from './bounded-socket.js';
import {TOO_MANY_LINES_DETAIL} from './bounded-socket.js';
import {MAX_KEPT_LINES} from './kept-lines.js';

const FIRST_FINAL_STATUS = 200;

type Handler = Dispatcher.DispatchHandler;

/** Holds the socket of a client, which is created before the client is. */
export class SocketHolder {
  socket?: BoundedSocket;
}

/**
 * Wraps a handler so that the socket learns where heads, bodies and responses
 * end. Handlers of both forms are forwarded in their own, as undici itself
 * passes on handlers of both.
 *
 * @example
 * client.dispatch(options, watchResponse(handler, holder));
 */
export function watchResponse(handler: Handler, holder: SocketHolder): Handler {
  return handler.onRequestStart === undefined
    ? new WatchedOlderHandler(handler, holder)
    : new WatchedHandler(handler, holder);
}

/** Watches a handler with a controller. */
class WatchedHandler implements Handler {
  constructor(
    private readonly handler: Handler,
    private readonly holder: SocketHolder,
  ) {}

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.handler.onRequestStart?.(controller, context);
  }

  onRequestUpgrade(
    ...args: Parameters<NonNullable<Handler['onRequestUpgrade']>>
  ): void {
    this.handler.onRequestUpgrade?.(...args);
  }

  onResponseStart(
    ...args: Parameters<NonNullable<Handler['onResponseStart']>>
  ): void {
    const [{rawHeaders}, status] = args;
    recordHead(this.holder, status, rawHeaders as readonly unknown[]);
    this.handler.onResponseStart?.(...args);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.holder.socket?.recordBody(chunk);
    this.handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    ...args: Parameters<NonNullable<Handler['onResponseEnd']>>
  ): void {
    this.holder.socket?.endResponse();
    this.handler.onResponseEnd?.(...args);
  }

  onResponseError(controller: Dispatcher.DispatchController, err: Error): void {
    this.handler.onResponseError?.(controller, err);
  }
}

/** Watches a handler without a controller, as `request` makes them. */
class WatchedOlderHandler implements Handler {
  constructor(
    private readonly handler: Handler,
    private readonly holder: SocketHolder,
  ) {}

  onConnect(abort: (err?: Error) => void): void {
    this.handler.onConnect?.(abort);
  }

  onBodySent(chunkSize: number, totalBytesSent: number): void {
    this.handler.onBodySent?.(chunkSize, totalBytesSent);
  }

  onResponseStarted(): void {
    this.handler.onResponseStarted?.();
  }

  onUpgrade(status: number, fields: Buffer[] | null, socket: Duplex): void {
    this.handler.onUpgrade?.(status, fields, socket);
  }

  onHeaders(
    status: number,
    fields: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    recordHead(this.holder, status, fields);
    return this.handler.onHeaders!(status, fields, resume, statusText);
  }

  onData(chunk: Buffer): boolean {
    this.holder.socket?.recordBody(chunk);
    return this.handler.onData!(chunk);
  }

  onComplete(trailers: string[] | null): void {
    this.holder.socket?.endResponse();
    this.handler.onComplete?.(trailers);
  }

  onError(err: Error): void {
    this.handler.onError?.(err);
  }
}

/** Throws if there are too many fields, which fails the request. */
function recordHead(
  {socket}: SocketHolder,
  status: number,
  rawFields: readonly unknown[],
): void {
  if (socket === undefined) return;
  const fields = rawFields.length / 2;
  if (fields > MAX_KEPT_LINES) throw new Error(TOO_MANY_LINES_DETAIL);
  if (status < FIRST_FINAL_STATUS) socket.endInformational(fields);
  else socket.endHead(fields);
}
