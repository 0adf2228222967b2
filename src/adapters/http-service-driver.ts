/** Speaks to a plain service over HTTP. */
import {errAsync, type ResultAsync} from 'neverthrow';
import {Codec, number} from 'purify-ts';
import type {Dispatcher} from 'undici';

import type {
  DriverError,
  PlainRequest,
  PlainResponse,
  ServiceDriver,
  ServiceReport,
} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import {driverError, toDriverError} from './driver-errors.js';
import {fetchReport} from './driver-probe.js';
import {callHttp, createPool} from './http-call.js';

/**
 * Largest answer that is passed on, in bytes; with its headers it fits into
 * one frame between agent and entry.
 */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

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
    const url = buildUrl(this.baseUrl, req.path);
    if (!isBelowRoot(this.baseUrl, url)) {
      const detail = 'the path leaves the root of the service';
      return errAsync(driverError(DriverErrorKind.NOT_SENT, detail));
    }
    return callHttp({
      dispatcher: this.dispatcher,
      url,
      method: req.method,
      headers: req.headers.filter(isForwarded),
      body: req.body.length === 0 ? undefined : req.body,
      timeoutMs,
      maxBodyBytes: MAX_RESPONSE_BYTES,
    })
      .map((res) => ({
        ...res,
        headers: res.headers.filter(isForwarded),
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
function buildUrl(baseUrl: string, path: string): string {
  return path.startsWith('/') ? `${baseUrl}${path}` : `${baseUrl}/${path}`;
}

/** Dot segments, which URL parsers resolve, could lead out of the root. */
function isBelowRoot(baseUrl: string, url: string): boolean {
  if (!URL.canParse(url)) return false;
  const root = new URL(baseUrl);
  const parsed = new URL(url);
  const prefix = root.pathname.replace(/\/$/, '');
  const isBelow = parsed.pathname.startsWith(`${prefix}/`);
  return parsed.origin === root.origin && isBelow;
}

function isForwarded({name}: {name: string}): boolean {
  return !CONNECTION_HEADERS.has(name.toLowerCase());
}
