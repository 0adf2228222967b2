/** Request targets as they were sent, before any URL parser changes them. */
import type {IncomingMessage} from 'node:http';

import type {Context} from 'hono';

const ORIGIN = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i;
const SERVICE_PREFIX = /^\/services\/[^/?#]*/;
const DOT_SEGMENTS: ReadonlySet<string> = new Set(['.', '..']);

/** Bindings that the HTTP server gives to an application. */
interface ServerBindings {
  readonly incoming?: IncomingMessage;
}

/**
 * Returns path and query as they were sent. A URL parser would resolve dot
 * segments first, and so turn a path of one service into one of another.
 */
export function readRequestTarget(ctx: Context): string {
  const bindings = ctx.env as ServerBindings | undefined;
  const target = bindings?.incoming?.url ?? ctx.req.url;
  return target.replace(ORIGIN, '');
}

/**
 * Says whether a target stays below its root whoever decodes it: it has no
 * dot segments, also no encoded ones, no backslashes and no broken escapes.
 *
 * @example
 * isPlainTarget('/services/orders/%2e%2e/stock'); // false
 */
export function isSafeRequestTarget(target: string): boolean {
  const [path = ''] = target.split(/[?#]/, 1);
  const once = decodeOnce(path);
  if (once === undefined) return false;
  const decoded = decodeFully(once);
  return !/[\\\0]/.test(decoded) && !decoded.split('/').some(isDotSegment);
}

/**
 * Cuts `/services/<name>` off a target.
 *
 * @example
 * cutServicePrefix('/services/stock/items/7?unit=bag'); // '/items/7?unit=bag'
 */
export function stripServicePrefix(target: string): string {
  return target.replace(SERVICE_PREFIX, '');
}

/** Some servers cut off what follows a semicolon in a segment. */
function isDotSegment(segment: string): boolean {
  const [name = ''] = segment.split(';', 1);
  return DOT_SEGMENTS.has(name);
}

/** Decodes until nothing changes, as some servers decode twice. */
function decodeFully(text: string): string {
  const decoded = decodeOnce(text);
  const isUnchanged = decoded === undefined || decoded === text;
  return isUnchanged ? text : decodeFully(decoded);
}

function decodeOnce(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
