/** HTTP calls with a timeout, which return failures as values. */
import {ResultAsync} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {Agent, Pool, request} from 'undici';

import {scheduleTimer} from '../core/clock/index.js';
import {ByteBuffer} from '../core/bytes/index.js';
import type {HeaderField} from '../core/edges/index.js';
import type {MemoryBudget} from '../core/bytes/index.js';
import {BoundedClient} from './bounded-client.js';

/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Bytes that a response may take on its connection by default: its headers,
 * its framing and its body.
 */
const DEFAULT_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Pieces of a body that may be small, whatever their size. */
const MAX_SMALL_PIECES = 16 * 1024;

/** Mean size of the other pieces, at least, in bytes. */
const MIN_MEAN_PIECE_BYTES = 8;

/** Lowest status of an error response. */
export const FIRST_ERROR_STATUS = 400;

/** Highest status of the protocol; undici reads up to three digits. */
const LAST_STATUS = 599;

/** Error codes of requests that were not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'ERR_INVALID_URL',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

/** Name of the error with which a call ends after its timeout. */
const TIMEOUT_ERROR_NAME = 'TimeoutError';

const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** Why no complete response was received. */
export enum HttpFailureKind {
  /** The request never reached the server. */
  NOT_SENT = 'not_sent',
  /** No complete response was received within the timeout. */
  TIMEOUT = 'timeout',
  /** The connection broke, or any other error after the request was sent. */
  BROKEN = 'broken',
  /** The body of the response exceeds the limit. */
  TOO_LARGE = 'too_large',
}

/** A call without a complete response. */
export interface HttpFailure {
  readonly kind: HttpFailureKind;
  readonly detail: string;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Receives the headers of a response. */
export type OnHeaders = (headers: readonly HeaderField[]) => void;

/** Request and limits of a call. */
export interface HttpCallOptions {
  readonly dispatcher: Dispatcher;
  readonly url: string;
  readonly method: string;
  readonly headers: readonly HeaderField[];
  readonly body?: Uint8Array | string;
  /** Timeout of the call, including the body of its response. */
  readonly timeoutMs: number;
  /** Largest body of a response in bytes; unlimited by default. */
  readonly maxBodyBytes?: number;
}

/** Thrown if a body exceeds the limit; becomes a TOO_LARGE failure. */
class BodyTooLargeError extends Error {}

/** Thrown if a status is none of HTTP; becomes a BROKEN failure. */
class InvalidStatusError extends Error {
  constructor(status: number) {
    super(describeInvalidStatus(status));
  }
}

/**
 * Creates a connection pool. It limits neither the number of connections nor
 * the time of a response; callers set their own timeouts.
 *
 * @example
 * const dispatcher = createPool({keepsAlive: true});
 */
export function createPool(options: {
  /** Whether calls reuse connections. */
  keepsAlive: boolean;
  /** CONNECT_TIMEOUT_MS by default. */
  connectTimeoutMs?: number;
  /**
   * Bytes that one response may take on its connection; more close it.
   * DEFAULT_RESPONSE_BYTES by default.
   */
  responseBytes?: number;
  /** Where the memory of header lines is reserved; by default nowhere. */
  memory?: MemoryBudget;
}): Dispatcher {
  const createClient = (origin: string | URL) =>
    new BoundedClient(origin, {
      connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      responseBytes: options.responseBytes ?? DEFAULT_RESPONSE_BYTES,
      memory: options.memory,
      headersTimeout: 0,
      bodyTimeout: 0,
      // With pipelining 0, undici opens a new connection for each call.
      pipelining: options.keepsAlive ? 1 : 0,
    });
  return new Agent({
    factory: (origin) => new Pool(origin, {factory: createClient}),
  });
}

/**
 * Sends a request and reads the complete response.
 *
 * @example
 * const res = await callHttp({dispatcher, url, method: 'GET', ...rest});
 */
export function callHttp(
  options: HttpCallOptions,
): ResultAsync<HttpResponse, HttpFailure> {
  return ResultAsync.fromPromise(sendRequest(options), toHttpFailure);
}

/**
 * Converts an error thrown by undici to a failure.
 *
 * @example
 * if (toHttpFailure(e).kind === HttpFailureKind.NOT_SENT) retry();
 */
export function toHttpFailure(e: unknown): HttpFailure {
  const detail = e instanceof Error ? e.message : String(e);
  return {kind: toFailureKind(e), detail};
}

/**
 * Returns whether a final status is one of HTTP. What comes with another one is
 * no response, whatever its headers say.
 *
 * @example
 * isHttpStatus(600); // false
 */
export function isHttpStatus(status: number): boolean {
  return status <= LAST_STATUS;
}

/**
 * Describes a status that is none of HTTP.
 *
 * @example
 * describeInvalidStatus(600); // 'invalid status 600'
 */
export function describeInvalidStatus(status: number): string {
  return `invalid status ${status}`;
}

/**
 * Throws if a response has a status that is none of HTTP, and closes its
 * connection.
 *
 * @example
 * requireHttpStatus(await request(url));
 */
export function requireHttpStatus(
  res: Pick<Dispatcher.ResponseData, 'statusCode' | 'body'>,
): void {
  const {statusCode, body} = res;
  if (isHttpStatus(statusCode)) return;
  body.on('error', () => undefined).destroy();
  throw new InvalidStatusError(statusCode);
}

/**
 * Parses JSON; returns undefined if it is malformed.
 *
 * @example
 * codec.decode(parseJson(res.body));
 */
export function parseJson(body: Uint8Array | string): unknown {
  const text = typeof body === 'string' ? body : Buffer.from(body).toString();
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Decodes a body as UTF-8 while it arrives. `setEncoding` of the body has no
 * effect on its iterator.
 *
 * @example
 * for await (const text of decodeUtf8(res.body)) parser.feed(text);
 */
export async function* decodeUtf8(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  for await (const chunk of body) yield decoder.decode(chunk, {stream: true});
}

async function sendRequest(options: HttpCallOptions): Promise<HttpResponse> {
  const abort = new AbortController();
  const {timeoutMs} = options;
  const timer = scheduleTimer({
    delayMs: timeoutMs,
    run: () => abort.abort(createTimeoutError(timeoutMs)),
  });
  try {
    return await exchange(options, abort.signal);
  } finally {
    timer.cancel();
  }
}

async function exchange(
  options: HttpCallOptions,
  signal: AbortSignal,
): Promise<HttpResponse> {
  const {dispatcher, url, method, body} = options;
  const headers = options.headers.flatMap(({name, value}) => [name, value]);
  const settings = {dispatcher, method, headers, body, signal};
  const res = await request(url, settings as Parameters<typeof request>[1]);
  requireHttpStatus(res);
  const bytes = await readBytes(res.body, options.maxBodyBytes);
  return {
    status: res.statusCode,
    headers: toHeaderFields(res.headers),
    body: bytes,
  };
}

function createTimeoutError(timeoutMs: number): Error {
  const detail = `no complete response within ${Math.round(timeoutMs)} ms`;
  return new DOMException(detail, TIMEOUT_ERROR_NAME);
}

async function readBytes(
  body: Dispatcher.ResponseData['body'],
  maxBytes = Number.POSITIVE_INFINITY,
): Promise<Uint8Array> {
  const buffer = new ByteBuffer();
  let pieces = 0;
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    buffer.push(chunk);
    pieces++;
    // Exiting the loop destroys the body and its connection.
    if (buffer.length > maxBytes)
      throw new BodyTooLargeError(`the answer is over ${maxBytes} bytes`);
    if (pieces > MAX_SMALL_PIECES + buffer.length / MIN_MEAN_PIECE_BYTES)
      throw new BodyTooLargeError(`the answer comes in ${pieces} pieces`);
  }
  return buffer.toBytes();
}

/**
 * Converts the headers of a response of undici.
 *
 * @example
 * onHeaders(toHeaderFields(res.headers));
 */
export function toHeaderFields(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderField[] {
  return Object.entries(headers).flatMap(toFields);
}

function toFields([name, value]: [
  string,
  string | string[] | undefined,
]): HeaderField[] {
  const values = value === undefined ? [] : [value].flat();
  return values.map((single) => ({name, value: single}));
}

function toFailureKind(e: unknown): HttpFailureKind {
  if (e instanceof BodyTooLargeError) return HttpFailureKind.TOO_LARGE;
  if (e instanceof AggregateError && e.errors.every(isNotSent)) {
    return HttpFailureKind.NOT_SENT;
  }
  if (isNotSent(e)) return HttpFailureKind.NOT_SENT;
  if (isTimeout(e)) return HttpFailureKind.TIMEOUT;
  return HttpFailureKind.BROKEN;
}

function isNotSent(e: unknown): boolean {
  return NOT_SENT_CODES.has(getErrorCode(e));
}

function isTimeout(e: unknown): boolean {
  if (e instanceof Error && e.name === TIMEOUT_ERROR_NAME) return true;
  return TIMEOUT_CODES.has(getErrorCode(e));
}

function getErrorCode(e: unknown): string {
  if (typeof e !== 'object' || e === null) return '';
  return String(Reflect.get(e, 'code'));
}
