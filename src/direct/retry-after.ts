/** When callers of refused requests should come back. */
import {RETRY_AFTER_MS} from './consts.js';
import type {DirectContext, DirectWork} from './context.js';

/**
 * Returns the `Retry-After` of a request that was not run, in milliseconds. If
 * every target of its service asks for a pause, it is the shortest one.
 *
 * @example
 * res.sendRefusal({status, reason, retryAfterMs: retryAfterMsOf(ctx, work)});
 */
export function retryAfterMsOf(ctx: DirectContext, work: DirectWork): number {
  const reopensInMs = ctx.targets.reopensInMs(work.service.name) ?? 0;
  return Math.max(RETRY_AFTER_MS, reopensInMs);
}
