/** A test client that sends HTTP requests to the entries of a site. */
import type {Agent, IncomingHttpHeaders} from 'node:http';
import {request} from 'node:http';

import {HOST} from '../../stand-ins/site/config.js';

/** A response as received by a caller. */
export interface SiteResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the body was complete according to its HTTP framing. */
  readonly isComplete: boolean;
}

/** A request of a caller. */
export interface SiteRequest {
  readonly host: string;
  readonly port: number;
  /** Agent that owns the connection on which the request is sent. */
  readonly agent: Agent;
  readonly path: string;
  readonly method?: string;
  /** API key of a client account. */
  readonly key: string;
  /** Value of the `Attempt-Id` header, which identifies the request. */
  readonly attemptId: string;
  /** Value of the `Deadline-Ms` header, in milliseconds. */
  readonly deadlineMs: number;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Called with the whole body received so far, after each chunk. */
  readonly onData?: (text: string) => void;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request and reads until the response or the connection ends.
 * Rejects if no response headers were received.
 *
 * @example
 * const res = await sendSiteRequest({...address, agent, path: '/stock/1', ...});
 */
export function sendSiteRequest(call: SiteRequest): Promise<SiteResponse> {
  const {host, port, agent, path, method = 'POST', body, signal} = call;
  const headers = {
    Host: HOST,
    'Attempt-Id': call.attemptId,
    'Deadline-Ms': String(call.deadlineMs),
    Authorization: `Token ${call.key}`,
    ...call.headers,
  };
  const options = {host, port, method, path, agent, headers, signal};
  return new Promise((resolve, reject) => {
    const req = request(options, (res) => {
      let text = '';
      res.on('data', (chunk) => {
        text += String(chunk);
        call.onData?.(text);
      });
      // `isComplete` reports a broken body.
      res.on('error', () => undefined);
      res.on('close', () =>
        resolve({
          status: res.statusCode!,
          headers: res.headers,
          text,
          isComplete: res.complete,
        }),
      );
    });
    req.on('error', reject);
    req.end(body);
  });
}
