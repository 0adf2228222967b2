/** Requests the status report of a target. */
import type {Result, ResultAsync} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Codec} from 'purify-ts';
import type {Dispatcher} from 'undici';

import {decodeValue} from '../core/codec/decode-value.js';
import type {DriverError} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import {createDriverError, toDriverError} from './driver-errors.js';
import type {HttpResponse} from './http-call.js';
import {callHttp, FIRST_ERROR_STATUS, parseJson} from './http-call.js';

/**
 * Requests and decodes the report at `/health` of a target.
 *
 * @example
 * fetchReport({dispatcher, baseUrl, codec, timeoutMs: 500});
 */
export function fetchReport<T>(options: {
  dispatcher: Dispatcher;
  baseUrl: string;
  codec: Codec<T>;
  timeoutMs: number;
}): ResultAsync<T, DriverError> {
  const {dispatcher, baseUrl, codec, timeoutMs} = options;
  const url = `${baseUrl}/health`;
  const call = {dispatcher, url, method: 'GET', headers: [], timeoutMs};
  return callHttp(call)
    .mapErr(toDriverError)
    .andThen(checkStatus)
    .andThen((res) => decode(codec, res));
}

/**
 * Converts a response with an error status to a REFUSED error.
 *
 * @example
 * callHttp(options).mapErr(toDriverError).andThen(checkStatus);
 */
export function checkStatus(
  res: HttpResponse,
): Result<HttpResponse, DriverError> {
  if (res.status < FIRST_ERROR_STATUS) return ok(res);
  const detail = `status ${res.status}`;
  return err(createDriverError(DriverErrorKind.REFUSED, detail));
}

function decode<T>(
  codec: Codec<T>,
  {body}: HttpResponse,
): Result<T, DriverError> {
  return decodeValue(codec, parseJson(body)).mapErr((detail) =>
    createDriverError(DriverErrorKind.MALFORMED, detail),
  );
}
