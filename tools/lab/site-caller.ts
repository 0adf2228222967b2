/** A caller of a site on the platform. */
import type {Agent, IncomingHttpHeaders} from 'node:http';
import {request} from 'node:http';

import {HOST} from '../../stand-ins/site/config.js';

/** What a caller got. */
export interface SiteResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean;
}

/** One request of a caller. */
export interface SiteRequest {
  readonly host: string;
  readonly port: number;
  /** Holds the connection on which the request is sent. */
  readonly agent: Agent;
  readonly path: string;
  readonly method?: string;
  readonly key: string;
  readonly attemptId: string;
  /** Time for which the caller waits, as it tells the entry. */
  readonly deadlineMs: number;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Called with all that has come so far. */
  readonly onData?: (text: string) => void;
  /** Ends the request from the caller's side. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request and reads what comes until the answer or the connection
 * ends; rejects where no answer began.
 *
 * @example
 * const reply = await callSite({...address, agent, path: '/stock/1', ...});
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
      // What came is judged by the reply's framing.
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
