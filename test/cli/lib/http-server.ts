import type {IncomingMessage, RequestListener, Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/** An HTTP server on a free local port. */
export interface TestServer {
  readonly url: string;
  readonly server: Server;
}

/** Starts a server on a free local port. */
export async function startServer(
  listener: RequestListener,
): Promise<TestServer> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, server};
}

/** Closes a server and its connections. */
export async function stopServer({server}: TestServer): Promise<void> {
  const closed = new Promise((resolve) => server.close(resolve));
  server.closeAllConnections();
  await closed;
}

/** Reads the complete body of a request. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
