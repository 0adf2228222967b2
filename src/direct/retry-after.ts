/** When callers of refused requests should come back. */
import {RETRY_AFTER_MS} from './consts.js';
import type {DirectContext, DirectWork} from './context.js';

/**
 * Returns the `Retry-After` of a request that was not run, in milliseconds. If
 * every target of its service asks for a pause or gives no permit, it is the time
 * until the first of them takes work again.
 *
 * @example
 * res.sendRefusal({status, reason, retryAfterMs: retryAfterMsOf(ctx, work)});
 */
export function retryAfterMsOf(
  ctx: DirectContext,
  work: DirectWork,
  /** Time until a target gives a permit, in ms; undefined if none is asked. */
  permitWaitMs?: number,
): number {
  const reopensInMs = ctx.targets.reopensInMs(work.service.name);
  const waitMs = Math.min(permitWaitMs ?? Infinity, reopensInMs ?? Infinity);
  return Math.ceil(
    Math.max(RETRY_AFTER_MS, Number.isFinite(waitMs) ? waitMs : 0),
  );
}
