/** Writes server-sent events straight to the response of the HTTP server. */
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
 * One event stream. Streams of the web platform would cost more per event
 * than all else that an entry does for a token.
 */
export class EventStreamWriter {
  private readonly res: ServerResponse;

  constructor(ctx: Context, onClose: () => void) {
    this.res = (ctx.env as HttpBindings).outgoing;
    this.res.once('close', onClose);
    this.res.writeHead(HTTP_OK, HEADERS);
  }

  /** Whether the caller is gone or the stream has ended. */
  get isClosed(): boolean {
    return this.res.destroyed || this.res.writableEnded;
  }

  /** Writes; resolves once the caller has taken enough for the next part. */
  async write(text: string): Promise<void> {
    if (this.isClosed || this.res.write(text)) return;
    const closeController = new AbortController();
    const abort = (): void => closeController.abort();
    this.res.once('close', abort);
    await once(this.res, 'drain', {signal: closeController.signal}).catch(
      () => {
        // The caller is gone; `isClosed` tells.
      },
    );
    this.res.off('close', abort);
  }

  /** Ends the stream and returns what tells the server that it was sent. */
  end(): Response {
    if (!this.isClosed) this.res.end();
    return RESPONSE_ALREADY_SENT;
  }
}
