/** HTTP helpers for the tests of adapters and stand-ins. */
import type {ServerResponse} from 'node:http';

import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startServer} from '../../stand-ins/lib/http-server.js';

/** Address on which nothing listens: port 1 is reserved and unused. */
export const UNREACHABLE_URL = 'http://127.0.0.1:1';

/** Posts a JSON body to a control path. */
export async function post(url: string, body: object = {}): Promise<Response> {
  return fetch(url, {method: 'POST', body: JSON.stringify(body)});
}

/** Reads a JSON document. */
export async function getJson<T>(url: string): Promise<T> {
  return (await (await fetch(url)).json()) as T;
}

/** Starts a server that responds to every request in the same way. */
export function startStubServer(
  respond: (res: ServerResponse) => void,
): Promise<RunningServer> {
  const handle = ({
    req,
    res,
  }: {req: NodeJS.ReadableStream} & {
    res: ServerResponse;
  }): void => {
    req.resume();
    req.on('end', () => respond(res));
  };
  return startServer({address: '127.0.0.1', port: 0, handle});
}
