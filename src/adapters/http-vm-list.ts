/** HTTP client of the platform's VM list. */
import type {Result, ResultAsync} from 'neverthrow';
import {err} from 'neverthrow';
import {array, Codec, enumeration, number, string} from 'purify-ts';
import type {Dispatcher} from 'undici';

import {decodeValue} from '../core/codec/decode-value.js';
import type {VmList, VmListError, VmRecord} from '../core/edges/index.js';
import {VmListErrorKind, VmRole, VmState} from '../core/edges/index.js';
import {Layer} from '../core/errors/types.js';
import type {HttpResponse} from './http-call.js';
import {callHttp, createPool, parseJson} from './http-call.js';

/** Timeout for reading the list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 1_500;

const STATUS_OK = 200;

const VM_RECORDS = Codec.interface({
  vms: array(
    Codec.interface({
      name: string,
      role: enumeration(VmRole),
      state: enumeration(VmState),
      dataCentre: string,
      address: string,
      peerPort: number,
      service: string,
    }),
  ),
});

/**
 * Client of the platform's VM list.
 *
 * @example
 * const vms = await new HttpVmList({baseUrl: 'http://127.0.0.1:9000'}).read();
 */
export class HttpVmList implements VmList {
  private readonly baseUrl: string;
  private readonly timeoutMs: number;
  private readonly dispatcher: Dispatcher = createPool({keepsAlive: true});

  constructor(options: {baseUrl: string; timeoutMs?: number}) {
    this.baseUrl = options.baseUrl;
    this.timeoutMs = options.timeoutMs ?? VM_LIST_TIMEOUT_MS;
  }

  read(): ResultAsync<VmRecord[], VmListError> {
    return callHttp({
      dispatcher: this.dispatcher,
      url: `${this.baseUrl}/vms`,
      method: 'GET',
      headers: [],
      timeoutMs: this.timeoutMs,
    })
      .mapErr(({detail}) =>
        createVmListError(VmListErrorKind.UNAVAILABLE, detail),
      )
      .andThen(decode);
  }
}

function decode({status, body}: HttpResponse): Result<VmRecord[], VmListError> {
  if (status !== STATUS_OK) {
    const detail = `status ${status}`;
    return err(createVmListError(VmListErrorKind.UNAVAILABLE, detail));
  }
  return decodeValue(VM_RECORDS, parseJson(body))
    .map(({vms}) => vms)
    .mapErr((detail) => createVmListError(VmListErrorKind.MALFORMED, detail));
}

function createVmListError(kind: VmListErrorKind, detail: string): VmListError {
  return {layer: Layer.VM_LIST, kind, detail};
}
