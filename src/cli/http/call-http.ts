import type {Result} from 'neverthrow';

import type {
  HttpResponse as AdapterResponse,
  HttpFailure,
} from '../../adapters/http-call.js';
import {
  callHttp as sendRequest,
  createPool,
  HttpFailureKind,
} from '../../adapters/http-call.js';
import {Layer} from '../../core/errors/index.js';
import {
  hasProblemContentType,
  parseProblem,
  parseRetryAfter,
} from './problem-document.js';
import type {HttpResponse, HttpError} from './types.js';
import {HttpErrorKind} from './types.js';

/** Each call opens its own connection, as the tool makes few calls. */
const POOL = createPool({keepsAlive: false});

/**
 * Sends a request and reads the complete response.
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
}): Promise<Result<HttpResponse, HttpError>> {
  const {headers, ...rest} = options;
  const fields = Object.entries(headers);
  const response = await sendRequest({
    dispatcher: POOL,
    headers: fields.map(([name, value]) => ({name, value})),
    ...rest,
  });
  return response.map(toResponse).mapErr(toHttpError);
}

/** Converts a failure of the HTTP adapter into an error of the tool. */
export function toHttpError({kind, detail}: HttpFailure): HttpError {
  const isSent = kind !== HttpFailureKind.NOT_SENT;
  return {
    layer: Layer.CLI,
    kind: isSent ? HttpErrorKind.LOST : HttpErrorKind.NOT_SENT,
    detail,
  };
}

function toResponse({status, headers, body}: AdapterResponse): HttpResponse {
  const text = Buffer.from(body).toString('utf8');
  const headerMap = Object.fromEntries(
    headers.map(({name, value}) => [name, value]),
  );
  return {
    status,
    body: text,
    problem: hasProblemContentType(headerMap)
      ? parseProblem(text).extract()
      : undefined,
    retryAfterMs: parseRetryAfter(headerMap),
  };
}
