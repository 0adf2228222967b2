import type {Result} from 'neverthrow';

import type {
  HttpAnswer as RawAnswer,
  HttpFailure,
} from '../../adapters/http-call.js';
import {
  callHttp as exchange,
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

/** A run of the tool makes few calls; each opens its own connection. */
const POOL = createPool({keepsAlive: false});

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
}): Promise<Result<HttpResponse, HttpError>> {
  const {headers, ...rest} = options;
  const fields = Object.entries(headers);
  const answer = await exchange({
    dispatcher: POOL,
    headers: fields.map(([name, value]) => ({name, value})),
    ...rest,
  });
  return answer.map(toAnswer).mapErr(toHttpError);
}

/** Turns a failed exchange into an error of the tool. */
export function toHttpError({kind, detail}: HttpFailure): HttpError {
  const isSent = kind !== HttpFailureKind.NOT_SENT;
  return {
    layer: Layer.CLI,
    kind: isSent ? HttpErrorKind.LOST : HttpErrorKind.NOT_SENT,
    detail,
  };
}

function toAnswer({status, headers, body}: RawAnswer): HttpResponse {
  const text = Buffer.from(body).toString('utf8');
  const map = Object.fromEntries(headers.map(({name, value}) => [name, value]));
  return {
    status,
    body: text,
    problem: hasProblemContentType(map)
      ? parseProblem(text).extract()
      : undefined,
    retryAfterMs: parseRetryAfter(map),
  };
}
