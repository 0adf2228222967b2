/** Refuses a request of which nothing was sent to any target. */
import type {RefusalReason} from '../core/errors/refusals.js';
import type {DirectContext, DirectWork} from './context.js';

const UNAVAILABLE = 503;

/**
 * Tells the caller that the request did not run; it is of no use to send it
 * again as it is.
 *
 * @example
 * refuseUntried({ctx, work, reason: RefusalReason.POISON});
 */
export function refuseUnsent(options: {
  ctx: DirectContext;
  work: DirectWork;
  reason: RefusalReason;
}): void {
  const {ctx, work, reason} = options;
  ctx.metrics.countRefusal(reason);
  ctx.logger.info('refused', {
    id: work.req.attemptId,
    status: UNAVAILABLE,
    reason,
    leftMs: Math.round(work.deadlineAtMs - ctx.clock.now()),
  });
  work.res.sendRefusal({status: UNAVAILABLE, reason});
}
