/** Serves a hono application on an address. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Requests whose answer has not wholly left. */
  countOpen(): number;
  /** Stops listening and drops idle connections. */
  close(): void;
}

/** Starts to listen; rejects when the address is taken. */
export function listenHttp(options: {
  app: Hono;
  address: string;
  port: number;
  /** Whether an answer leaves its connection open; true by default. */
  keepsAlive?: () => boolean;
}): Promise<HttpListener> {
  const {app, address, port, keepsAlive = () => true} = options;
  return new Promise((resolve, reject) => {
    const server = serve(
      {fetch: app.fetch, hostname: address, port},
      (info: AddressInfo) => {
        resolve({
          port: info.port,
          countOpen: () => open.size,
          close: () => closeServer(server),
        });
      },
    ) as Server;
    const open = followAnswers(server, keepsAlive);
    server.once('error', reject);
  });
}

function closeServer(server: Server): void {
  server.close();
  server.closeIdleConnections();
}

/** Keeps the answers that have not wholly left. */
function followAnswers(
  server: Server,
  keepsAlive: () => boolean,
): ReadonlySet<ServerResponse> {
  const open = new Set<ServerResponse>();
  const follow = (_: IncomingMessage, res: ServerResponse): void => {
    open.add(res);
    res.once('close', () => void open.delete(res));
    const writeHead = res.writeHead.bind(res);
    res.writeHead = ((...args: Parameters<typeof writeHead>) => {
      if (!keepsAlive()) res.shouldKeepAlive = false;
      return writeHead(...args);
    }) as typeof writeHead;
  };
  server.prependListener('request', follow);
  return open;
}
