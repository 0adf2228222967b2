import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';

import {Layer} from '../../core/errors/index.js';
import {hasProblem, parseProblem, parseRetryAfter} from './problem-document.js';
import type {HttpAnswer, HttpError} from './types.js';
import {HttpErrorKind} from './types.js';

/** Codes of failures before anything was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Sends one request and reads its answer whole.
 *
 * @example
 * await callHttp({url, method: 'GET', headers: {}, timeoutMs: 2_000});
 */
export async function callHttp(options: {
  url: string;
  method: string;
  headers: Readonly<Record<string, string>>;
  body?: string;
  timeoutMs: number;
}): Promise<Result<HttpAnswer, HttpError>> {
  const {url, method, headers, body, timeoutMs} = options;
  try {
    const res = await request(url, {
      method: method,
      headers,
      body,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await res.body.text();
    return ok({
      status: res.statusCode,
      body: text,
      problem: hasProblem(res.headers)
        ? parseProblem(text).extract()
        : undefined,
      retryAfterMs: parseRetryAfter(res.headers),
    });
  } catch (thrown) {
    return err(createHttpError(thrown));
  }
}

/** Turns what the HTTP client throws into an error value. */
export function createHttpError(thrown: unknown): HttpError {
  const {code = '', message = String(thrown)} = thrown as {
    code?: string;
    message?: string;
  };
  const kind = NOT_SENT_CODES.has(String(code))
    ? HttpErrorKind.NOT_SENT
    : HttpErrorKind.LOST;
  const detail = message === '' ? String(code) : message;
  return {layer: Layer.CLI, kind, detail};
}
