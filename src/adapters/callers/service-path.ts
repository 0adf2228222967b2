/** Request targets as sent by the caller, not normalized by a URL parser. */
import type {IncomingMessage} from 'node:http';

import type {Context} from 'hono';

const ORIGIN = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i;
const SERVICE_PREFIX = /^\/services\/[^/?#]*/;
const DOT_SEGMENTS: ReadonlySet<string> = new Set(['.', '..']);

/** Bindings that the HTTP server passes to the application. */
interface ServerBindings {
  readonly incoming?: IncomingMessage;
}

/**
 * Returns path and query as they were sent. A URL parser would resolve dot
 * segments first, which can change a path of one service to one of another.
 */
export function readRequestTarget(ctx: Context): string {
  const bindings = ctx.env as ServerBindings | undefined;
  const target = bindings?.incoming?.url ?? ctx.req.url;
  return target.replace(ORIGIN, '');
}

/**
 * Whether a request target stays below its root with any decoder: it has no
 * plain or encoded dot segments or backslashes, and no malformed escapes.
 *
 * @example
 * isSafeRequestTarget('/services/orders/%2e%2e/stock'); // false
 */
export function isSafeRequestTarget(target: string): boolean {
  const [path = ''] = target.split(/[?#]/, 1);
  const once = decodeOnce(path);
  if (once === undefined) return false;
  const decoded = decodeFully(once);
  return !/[\\\0]/.test(decoded) && !decoded.split('/').some(isDotSegment);
}

/**
 * Removes `/services/<name>` from the start of a request target.
 *
 * @example
 * // '/items/7?unit=bag'
 * stripServicePrefix('/services/stock/items/7?unit=bag');
 */
export function stripServicePrefix(target: string): string {
  return target.replace(SERVICE_PREFIX, '');
}

/** Some servers ignore the part of a segment after a semicolon. */
function isDotSegment(segment: string): boolean {
  const [name = ''] = segment.split(';', 1);
  return DOT_SEGMENTS.has(name);
}

/** Decodes until the text no longer changes, as some servers decode twice. */
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
