/** Speaks to a plain service over HTTP. */
import type {ResultAsync} from 'neverthrow';
import {Codec, number} from 'purify-ts';
import type {Dispatcher} from 'undici';

import type {
  DriverError,
  PlainRequest,
  PlainResponse,
  ServiceDriver,
  ServiceReport,
} from '../core/edges/index.js';
import {toDriverError} from './driver-errors.js';
import {fetchReport} from './driver-probe.js';
import {callHttp, createPool} from './http-call.js';

/** Headers that belong to one connection, and those that undici sets. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const SERVICE_REPORT: Codec<ServiceReport> = Codec.interface({
  running: number,
  capacity: number,
});

/**
 * The driver of one plain service.
 *
 * @example
 * const driver = new HttpServiceDriver({baseUrl: 'http://127.0.0.1:8080'});
 */
export class HttpServiceDriver implements ServiceDriver {
  private readonly baseUrl: string;
  // A call on a kept connection that the service just closed would be lost
  // without a word on whether it ran, so each call opens its own.
  private readonly dispatcher: Dispatcher = createPool({keepsAlive: false});

  constructor(options: {baseUrl: string}) {
    this.baseUrl = options.baseUrl;
  }

  call(options: {
    req: PlainRequest;
    timeoutMs: number;
  }): ResultAsync<PlainResponse, DriverError> {
    const {req, timeoutMs} = options;
    return callHttp({
      dispatcher: this.dispatcher,
      url: urlOf(this.baseUrl, req.path),
      method: req.method,
      headers: req.headers.filter(isForwarded),
      body: req.body.length === 0 ? undefined : req.body,
      timeoutMs,
    })
      .map((answer) => ({
        ...answer,
        headers: answer.headers.filter(isForwarded),
      }))
      .mapErr(toDriverError);
  }

  probe(options: {timeoutMs: number}): ResultAsync<ServiceReport, DriverError> {
    const {dispatcher, baseUrl} = this;
    const {timeoutMs} = options;
    return fetchReport({dispatcher, baseUrl, codec: SERVICE_REPORT, timeoutMs});
  }
}

/** A path without its slash could otherwise name another host. */
function urlOf(baseUrl: string, path: string): string {
  return path.startsWith('/') ? `${baseUrl}${path}` : `${baseUrl}/${path}`;
}

function isForwarded({name}: {name: string}): boolean {
  return !CONNECTION_HEADERS.has(name.toLowerCase());
}
