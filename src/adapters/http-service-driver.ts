/** Calls a plain service over HTTP. */
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
import {createDriverError, toDriverError} from './driver-errors.js';
import {fetchReport} from './driver-probe.js';
import type {OnHeaders} from './http-call.js';
import {callHttp, createPool} from './http-call.js';

/**
 * Largest body of a response that is forwarded, in bytes; with its headers it
 * fits into one frame between agent and entry.
 */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Hop-by-hop headers and headers that undici sets; not forwarded. */
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
 * Driver of one plain service.
 *
 * @example
 * const driver = new HttpServiceDriver({baseUrl: 'http://127.0.0.1:8080'});
 */
export class HttpServiceDriver implements ServiceDriver {
  private readonly baseUrl: string;
  private readonly onHeaders: OnHeaders;
  // If the service closes a reused connection during a call, it is unknown
  // whether the call ran; therefore each call opens a connection.
  private readonly dispatcher: Dispatcher = createPool({keepsAlive: false});

  constructor(options: {
    baseUrl: string;
    /** Called with the headers of each response to a call. */
    onHeaders?: OnHeaders;
  }) {
    this.baseUrl = options.baseUrl;
    this.onHeaders = options.onHeaders ?? (() => undefined);
  }

  call(options: {
    req: PlainRequest;
    timeoutMs: number;
  }): ResultAsync<PlainResponse, DriverError> {
    const {req, timeoutMs} = options;
    const url = buildUrl(this.baseUrl, req.path);
    if (!isBelowRoot(this.baseUrl, url)) {
      const detail = 'the path leaves the root of the service';
      return errAsync(createDriverError(DriverErrorKind.NOT_SENT, detail));
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
      .map((res) => {
        this.onHeaders(res.headers);
        return {...res, headers: res.headers.filter(isForwarded)};
      })
      .mapErr(toDriverError);
  }

  probe(options: {timeoutMs: number}): ResultAsync<ServiceReport, DriverError> {
    const {dispatcher, baseUrl} = this;
    const {timeoutMs} = options;
    return fetchReport({dispatcher, baseUrl, codec: SERVICE_REPORT, timeoutMs});
  }
}

/** Adds the slash without which a path such as `@host` names another host. */
function buildUrl(baseUrl: string, path: string): string {
  return path.startsWith('/') ? `${baseUrl}${path}` : `${baseUrl}/${path}`;
}

/** Whether a URL is below its root also after its dot segments are resolved. */
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
