import {err, ok, type Result} from 'neverthrow';
import {boolean, Codec, Maybe, number, string} from 'purify-ts';

import {Layer} from '../../core/errors/index.js';
import {OPERATORS_TIMEOUT_MS, STATUS_PATH} from '../consts.js';
import type {HttpError} from '../http/index.js';
import {callHttp, HttpErrorKind} from '../http/index.js';
import type {ProcessStatus} from './types.js';

const STATUS: Codec<ProcessStatus> = Codec.interface({
  vm: string,
  role: string,
  dataCentre: string,
  ready: boolean,
  leaving: boolean,
  configVersion: number,
  configAgeMs: number,
});

/**
 * Requests the status of a process.
 *
 * @example
 * await readStatus('http://10.0.1.1:7002');
 */
export async function readStatus(
  baseUrl: string,
): Promise<Result<ProcessStatus, HttpError>> {
  const response = await callHttp({
    url: `${baseUrl}${STATUS_PATH}`,
    method: 'GET',
    headers: {},
    timeoutMs: OPERATORS_TIMEOUT_MS,
  });
  return response.andThen(({body}) => parseStatus(body));
}

function parseStatus(body: string): Result<ProcessStatus, HttpError> {
  const status = Maybe.encase((): unknown => JSON.parse(body))
    .chain((value) => STATUS.decode(value).toMaybe())
    .extract();
  const detail = 'the status has an unknown shape';
  return status === undefined
    ? err({layer: Layer.CLI, kind: HttpErrorKind.MALFORMED, detail})
    : ok(status);
}
