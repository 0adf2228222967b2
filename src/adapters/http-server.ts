/** Serves a hono application over HTTP. */
import type {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {createServer, STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';

import {getRequestListener, RequestError} from '@hono/node-server';
import type {Hono} from 'hono';

import type {Clock} from '../core/clock/index.js';
import type {ConnectionTable} from '../core/connections/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor, Task} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {
  createProblem,
  createProblemResponse,
  PROBLEM_CONTENT_TYPE,
} from './callers/problem.js';
import {boundServer} from './bounded-server/index.js';
import {listenWhenFree} from './listen-when-free.js';

/** Largest size of a request line and its headers, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** Timeout for a request line and its headers, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 10_000;

/**
 * Timeout for a complete request, in milliseconds. Higher than the largest
 * limits.bodyTimeoutMs, which ends most slow bodies earlier.
 */
export const REQUEST_TIMEOUT_MS = 310_000;

/** Period of the check for slow requests, in milliseconds. */
export const TIMEOUT_CHECK_MS = 1_000;

/**
 * Time for which an idle connection stays open, in milliseconds. Higher than the
 * 60 seconds after which load balancers usually close it, so that the load
 * balancer closes it first.
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
  /** Number of requests whose response is not completely sent. */
  countOpen(): number;
  /** Stops listening and closes idle connections. */
  close(): void;
}

/** Counts refusals of requests that do not reach the application. */
export interface RefusalCounter {
  countRefusal(refusal: Refusal): void;
}

/**
 * Listens as soon as the address is free; rejects if it never can be.
 *
 * @example
 * const edges = {clock, logger, supervisor};
 * const at = {address: '127.0.0.1', port: 0};
 * const {port} = await listenHttp({app, ...at, ...edges});
 */
export async function listenHttp(options: {
  app: Hono;
  address: string;
  /** 0 for any free port. */
  port: number;
  clock: Clock;
  logger: Logger;
  /** Holds failures of single requests. */
  supervisor: Supervisor;
  /** Bounds the connections of the process; none by default. */
  table?: ConnectionTable;
  counter?: RefusalCounter;
  /**
   * Whether to keep the connection open after a response; called for each one.
   * Always true by default.
   */
  keepsAlive?: () => boolean;
}): Promise<HttpListener> {
  const {app, address, counter, supervisor, clock, logger} = options;
  const {keepsAlive = () => true, table} = options;
  const listener = getRequestListener(app.fetch, {
    errorHandler: (cause) =>
      cause instanceof RequestError
        ? refuseMalformedTarget(counter)
        : refuseAfterFailure(supervisor, cause),
  });
  const server = createServer(SERVER_OPTIONS, (req, res) =>
    supervisor.run(createRequestTask(res), () => listener(req, res)),
  );
  if (table !== undefined) boundServer(server, {table, clock});
  server.on('clientError', (err: ClientError, socket: Socket) => {
    const onFailure = () => void socket.destroy();
    supervisor.run({name: TaskName.REQUEST, onFailure}, () =>
      refuseSocket({err, socket, counter}),
    );
  });
  const open = trackResponses(server, keepsAlive);
  const port = await listenWhenFree({
    server,
    addressOf: () => ({host: address, port: options.port}),
    clock,
    logger,
  });
  return {
    port,
    countOpen: () => open.size,
    close: () => closeServer(server),
  };
}

/** A request whose failure is answered, or cuts off its response. */
function createRequestTask(res: ServerResponse): Task {
  const onFailure = (): void => {
    if (res.headersSent) {
      res.destroy();
      return;
    }
    const problem = createProblem(failureRefusal());
    const headers = {'content-type': PROBLEM_CONTENT_TYPE};
    res.writeHead(problem.status, headers).end(JSON.stringify(problem));
  };
  return {name: TaskName.REQUEST, onFailure};
}

/** Refuses a request on which the application failed, and reports that. */
function refuseAfterFailure(supervisor: Supervisor, cause: unknown): Response {
  supervisor.run({name: TaskName.REQUEST}, () => {
    throw cause;
  });
  return createProblemResponse(failureRefusal());
}

function failureRefusal(): Refusal {
  const detail = 'the request could not be handled';
  return {reason: RefusalReason.TARGET_FAILED, ran: Executed.UNKNOWN, detail};
}

/** Error for a request that could not be read, with the code of its cause. */
type ClientError = Error & {readonly code?: string};

/** Node's private field for the response that is being sent on a socket. */
type RequestSocket = Socket & {readonly _httpMessage?: object};

/** Refuses a request whose target and Host header do not form a URL. */
function refuseMalformedTarget(counter: RefusalCounter | undefined): Response {
  const detail = 'the request target or its Host header is malformed';
  const refusal = createRefusal(RefusalReason.BAD_REQUEST, detail);
  counter?.countRefusal(refusal);
  return createProblemResponse(refusal);
}

/** Refuses a request that could not be read, and closes its connection. */
function refuseSocket(options: {
  err: ClientError;
  socket: RequestSocket;
  counter: RefusalCounter | undefined;
}): void {
  const {err, socket, counter} = options;
  // A refusal in the middle of another response would corrupt it.
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

/**
 * Tracks responses that are not completely sent, and sets whether each keeps
 * its connection open.
 */
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
