/** Serves a hono application on an address. */
import type {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {createServer, STATUS_CODES} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {getRequestListener} from '@hono/node-server';
import type {Hono} from 'hono';

import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import {
  createProblem,
  createProblemResponse,
  PROBLEM_CONTENT_TYPE,
} from './callers/problem.js';

/** Largest request line with its headers, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** Time for a request line and its headers to arrive, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 10_000;

/**
 * Time for a whole request to arrive, in milliseconds; over the largest
 * limits.bodyTimeoutMs, which ends most slow bodies before.
 */
export const REQUEST_TIMEOUT_MS = 310_000;

/** How often slow requests are looked for, in milliseconds. */
export const TIMEOUT_CHECK_MS = 1_000;

/**
 * Time for which an idle connection stays open, in milliseconds; over the
 * 60 seconds after which balancers usually close it, so that it is theirs to
 * close.
 */
export const KEEP_ALIVE_MS = 75_000;

const SERVER_OPTIONS: ServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  keepAliveTimeout: KEEP_ALIVE_MS,
};

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  /** Requests whose answer has not wholly left. */
  countOpen(): number;
  /** Stops listening and drops idle connections. */
  close(): void;
}

/** Learns of refusals of requests that reach no application. */
export interface RefusalCounter {
  countRefusal(refusal: Refusal): void;
}

/** Starts to listen; rejects when the address is taken. */
export function listenHttp(options: {
  app: Hono;
  address: string;
  port: number;
  counter?: RefusalCounter;
  /** Whether an answer leaves its connection open; true by default. */
  keepsAlive?: () => boolean;
}): Promise<HttpListener> {
  const {app, address, port, counter, keepsAlive = () => true} = options;
  const listener = getRequestListener(app.fetch, {
    errorHandler: () => refuseMalformedTarget(counter),
  });
  const server = createServer(SERVER_OPTIONS, (req, res) => {
    void listener(req, res);
  });
  server.on('clientError', (err: ClientError, socket: Socket) =>
    refuseSocket({err, socket, counter}),
  );
  const open = trackResponses(server, keepsAlive);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      const bound = server.address() as AddressInfo;
      resolve({
        port: bound.port,
        countOpen: () => open.size,
        close: () => closeServer(server),
      });
    });
  });
}

/** What the HTTP parser says of a request that it cannot read. */
type ClientError = Error & {readonly code?: string};

/** A socket with the response that is being written to it. */
type RequestSocket = Socket & {readonly _httpMessage?: object};

/** The request line or its host cannot be made a URL. */
function refuseMalformedTarget(counter: RefusalCounter | undefined): Response {
  const detail = 'the request target or its Host header is malformed';
  const refusal = createRefusal(RefusalReason.BAD_REQUEST, detail);
  counter?.countRefusal(refusal);
  return createProblemResponse(refusal);
}

/** Answers a request that could not be read, and closes its connection. */
function refuseSocket(options: {
  err: ClientError;
  socket: RequestSocket;
  counter: RefusalCounter | undefined;
}): void {
  const {err, socket, counter} = options;
  const hasResponse = socket._httpMessage !== undefined;
  if (!socket.writable || err.code === 'ECONNRESET' || hasResponse) {
    socket.destroy();
    return;
  }
  const refusal = toRefusal(err);
  counter?.countRefusal(refusal);
  socket.end(formatProblem(refusal));
}

function toRefusal({code = '', message}: ClientError): Refusal {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': {
      const detail = `request line and headers are at most ${MAX_HEADER_BYTES} bytes`;
      return createRefusal(RefusalReason.HEADERS_TOO_LARGE, detail);
    }
    case 'ERR_HTTP_REQUEST_TIMEOUT': {
      const detail = `headers are sent within ${HEADERS_TIMEOUT_MS} ms`;
      return createRefusal(RefusalReason.HEADERS_TOO_SLOW, detail);
    }
    default:
      return createRefusal(RefusalReason.BAD_REQUEST, message);
  }
}

function formatProblem(refusal: Refusal): string {
  const problem = createProblem(refusal);
  const body = JSON.stringify(problem);
  const head = [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
    `content-type: ${PROBLEM_CONTENT_TYPE}`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

function createRefusal(reason: RefusalReason, detail: string): Refusal {
  return {reason, ran: Executed.NO, detail};
}

function closeServer(server: Server): void {
  server.close();
  server.closeIdleConnections();
}

/** Keeps the answers that have not wholly left. */
function trackResponses(
  server: Server,
  keepsAlive: () => boolean,
): ReadonlySet<ServerResponse> {
  const open = new Set<ServerResponse>();
  const track = (_: IncomingMessage, res: ServerResponse): void => {
    open.add(res);
    res.once('close', () => void open.delete(res));
    const writeHead = res.writeHead.bind(res);
    res.writeHead = ((...args: Parameters<typeof writeHead>) => {
      if (!keepsAlive()) res.shouldKeepAlive = false;
      return writeHead(...args);
    }) as typeof writeHead;
  };
  server.prependListener('request', track);
  return open;
}
