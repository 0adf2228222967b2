/** Answers operators who ask where a request would go now. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {RoutePlan, RouteQuery} from '../core/route-plan/index.js';
import {parseRouteQuery} from '../core/route-plan/index.js';

/** Path of the question at the metrics address. */
export const ROUTE_PATH = '/route';

const KEY_SCHEME = 'Bearer ';

const BASE_URL = 'http://entry';

/** Describes routes; nothing is sent or changed. */
export interface RouteDescriber {
  /** Whether a configuration is known. */
  hasConfig(): boolean;
  describeRoute(query: RouteQuery): RoutePlan;
}

/**
 * Whether a request asks for a route.
 *
 * @example
 * if (isRouteRequest(req)) serveRoute({req, res, entry});
 */
export function isRouteRequest({method, url = ''}: IncomingMessage): boolean {
  const isPath = url === ROUTE_PATH || url.startsWith(`${ROUTE_PATH}?`);
  return method === 'GET' && isPath;
}

/**
 * Answers with the plan as JSON, 400 if the question can't be read, and 503
 * without a configuration. The question has no body; the server bounds its head.
 *
 * @example
 * serveRoute({req, res, entry});
 */
export function serveRoute(options: {
  req: IncomingMessage;
  res: ServerResponse;
  entry: RouteDescriber;
}): void {
  const {req, res, entry} = options;
  const params = readParams(req);
  if (params === undefined) {
    writeJson(res, 400, {detail: 'the parameters cannot be read'});
    return;
  }
  parseRouteQuery({params, key: readKey(req)}).match(
    (query) => {
      if (entry.hasConfig()) writeJson(res, 200, entry.describeRoute(query));
      else writeJson(res, 503, {detail: 'no configuration is known yet'});
    },
    (detail) => writeJson(res, 400, {detail}),
  );
}

/** Undefined if an escape in the query is no valid text. */
function readParams({url = ''}: IncomingMessage): URLSearchParams | undefined {
  const mark = url.indexOf('?');
  const query = mark < 0 ? '' : url.slice(mark + 1);
  try {
    decodeURIComponent(query);
    return new URL(url, BASE_URL).searchParams;
  } catch {
    return undefined;
  }
}

function readKey({headers}: IncomingMessage): string | undefined {
  const {authorization} = headers;
  if (authorization?.startsWith(KEY_SCHEME) !== true) return undefined;
  return authorization.slice(KEY_SCHEME.length).trim();
}

function writeJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'Content-Type': 'application/json'});
  res.end(`${JSON.stringify(body)}\n`);
}
