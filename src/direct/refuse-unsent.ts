/** Refuses a request that was not sent to any target. */
import type {RefusalReason} from '../core/errors/refusals.js';
import type {DirectContext, DirectWork} from './context.js';

const UNAVAILABLE = 503;

/**
 * Responds that the request did not run. Without `retryAfterMs`, sending the same
 * request again does not help.
 *
 * @example
 * refuseUnsent({ctx, work, reason: RefusalReason.POISON});
 */
export function refuseUnsent(options: {
  ctx: DirectContext;
  work: DirectWork;
  reason: RefusalReason;
  /** Time until the request may be sent again, in milliseconds. */
  retryAfterMs?: number;
}): void {
  const {ctx, work, reason, retryAfterMs} = options;
  ctx.metrics.countRefusal(reason);
  ctx.logger.info('request refused without an attempt', {
    id: work.req.attemptId,
    status: UNAVAILABLE,
    reason,
    leftMs: Math.round(work.deadlineAtMs - ctx.clock.now()),
    retryAfterMs,
  });
  work.res.sendRefusal({status: UNAVAILABLE, reason, retryAfterMs});
}
