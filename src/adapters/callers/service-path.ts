/** Checks request targets as the caller sent them, without normalization. */
import type {IncomingMessage} from 'node:http';

import type {Context} from 'hono';

const ORIGIN = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i;
const SERVICE_PREFIX = /^\/services\/[^/?#]*/;
const DOT_SEGMENTS: ReadonlySet<string> = new Set(['.', '..']);

/** The part of the HTTP server's bindings that is used here. */
interface ServerBindings {
  readonly incoming?: IncomingMessage;
}

/**
 * Returns path and query as they were sent. A URL parser would resolve dot
 * segments first, which can change a path of one service to one of another.
 *
 * @example
 * readRequestTarget(ctx); // '/services/stock/items/7?unit=bag'
 */
export function readRequestTarget(ctx: Context): string {
  const bindings = ctx.env as ServerBindings | undefined;
  const target = bindings?.incoming?.url ?? ctx.req.url;
  return target.replace(ORIGIN, '');
}

/**
 * Whether a request target stays below its root however a server decodes it.
 * It must have no plain or encoded dot segments, backslashes or NUL characters,
 * and no malformed escapes.
 *
 * @example
 * isSafeRequestTarget('/services/orders/%2e%2e/stock'); // false
 */
export function isSafeRequestTarget(target: string): boolean {
  const [path = ''] = target.split(/[?#]/, 1);
  const decodedOnce = decodeOnce(path);
  if (decodedOnce === undefined) return false;
  const decoded = decodeFully(decodedOnce);
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

/** The part after a semicolon is ignored here, as some servers ignore it. */
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
