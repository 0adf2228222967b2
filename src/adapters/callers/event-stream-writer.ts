/** Writes server-sent events directly to the response of the HTTP server. */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

import type {HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {Context} from 'hono';

const HTTP_OK = 200;

const HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
};

/**
 * Writes one event stream to the response of Node. Web streams, which Hono
 * itself uses, would cost more per event than all other work of an entry for a
 * token.
 *
 * @example
 * const out = new EventStreamWriter(ctx, () => reader.close());
 */
export class EventStreamWriter {
  private readonly res: ServerResponse;

  constructor(ctx: Context, onClose: () => void) {
    this.res = (ctx.env as HttpBindings).outgoing;
    this.res.once('close', onClose);
    this.res.writeHead(HTTP_OK, HEADERS);
  }

  /** Whether the caller has disconnected or the stream has ended. */
  get isClosed(): boolean {
    return this.res.destroyed || this.res.writableEnded;
  }

  /** Writes text; resolves once the response can buffer more or is closed. */
  async write(text: string): Promise<void> {
    if (this.isClosed || this.res.write(text)) return;
    const closeController = new AbortController();
    const abort = (): void => closeController.abort();
    this.res.once('close', abort);
    await once(this.res, 'drain', {signal: closeController.signal}).catch(
      () => {
        // The caller has disconnected, and `isClosed` is true.
      },
    );
    this.res.off('close', abort);
  }

  /** Ends the stream; returns the value that keeps Hono from responding too. */
  end(): Response {
    if (!this.isClosed) this.res.end();
    return RESPONSE_ALREADY_SENT;
  }
}
