/** JSON server on `node:http`, shared by the stand-ins. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Default size limit of a request body, in bytes. */
const DEFAULT_BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** A request with its response and the decoded path segments. */
export interface HttpCall {
  readonly method: string;
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Handles one request. */
export type HttpHandler = (call: HttpCall) => Promise<void> | void;

/** A listening server. */
export interface RunningServer {
  readonly port: number;
  readonly url: string;
  close(): Promise<void>;
}

/** Error that a handler throws to respond with a status. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Starts a server that passes each request to a handler.
 *
 * @example
 * const server = await startServer({address: '127.0.0.1', port: 0, handle});
 */
export async function startServer(options: {
  address: string;
  /** 0 for any free port. */
  port: number;
  handle: HttpHandler;
}): Promise<RunningServer> {
  const {address, port, handle} = options;
  const server = createServer(
    (req, res) => void handleRequest({req, res, handle}),
  );
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  const bound = (server.address() as AddressInfo).port;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return {port: bound, url: `http://${address}:${bound}`, close};
}

/**
 * Sends a JSON response.
 *
 * @example
 * sendJson({res, status: 200, body: {running: 0}});
 */
export function sendJson(options: {
  res: ServerResponse;
  status: number;
  body: unknown;
}): void {
  const {res, status, body} = options;
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

/**
 * Reads a JSON body. Throws 413 if it is too long and 400 if malformed.
 *
 * @example
 * const body = await readJson({req, limitBytes: 1024});
 */
export async function readJson(options: {
  req: IncomingMessage;
  limitBytes?: number;
}): Promise<unknown> {
  const {req, limitBytes = DEFAULT_BODY_LIMIT_BYTES} = options;
  const chunks: Buffer[] = [];
  let length = 0;
  // A long body is still read to its end, so that the client gets the response.
  for await (const chunk of req as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length <= limitBytes) chunks.push(chunk);
  }
  if (length > limitBytes) throw new HttpError(413, 'body too long');
  return parseJson(Buffer.concat(chunks).toString('utf8'));
}

function parseJson(text: string): unknown {
  try {
    return text === '' ? {} : (JSON.parse(text) as unknown);
  } catch {
    throw new HttpError(400, 'malformed JSON');
  }
}

async function handleRequest(options: {
  req: IncomingMessage;
  res: ServerResponse;
  handle: HttpHandler;
}): Promise<void> {
  const {req, res, handle} = options;
  res.on('error', () => res.destroy());
  try {
    await handle(toCall(req, res));
  } catch (e) {
    const status = e instanceof HttpError ? e.status : 500;
    const message = e instanceof Error ? e.message : String(e);
    if (res.headersSent) res.destroy();
    else sendJson({res, status, body: {error: message}});
  }
}

function toCall(req: IncomingMessage, res: ServerResponse): HttpCall {
  const [path = '', query = ''] = (req.url ?? '/').split('?');
  const segments = path.split('/').slice(1).map(decodeURIComponent);
  const method = req.method ?? 'GET';
  return {method, segments, query: new URLSearchParams(query), req, res};
}
