/** Serves a hono application on an address. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Stops listening and drops idle connections. */
  close(): void;
}

/** Starts to listen; rejects when the address is taken. */
export function listenHttp(options: {
  app: Hono;
  address: string;
  port: number;
}): Promise<HttpListener> {
  const {app, address, port} = options;
  return new Promise((resolve, reject) => {
    const server = serve(
      {fetch: app.fetch, hostname: address, port},
      (info: AddressInfo) => {
        resolve({port: info.port, close: () => closeServer(server as Server)});
      },
    );
    server.once('error', reject);
  });
}

function closeServer(server: Server): void {
  server.close();
  server.closeIdleConnections();
}
