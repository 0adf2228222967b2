/** Responds to a call that has failed. */
import type {FailureQuery} from '../core/retrying/index.js';
import {toFailureResponse} from '../core/retrying/index.js';
import type {Target} from '../core/targets/index.js';
import type {CallLog} from './call-log.js';
import type {DirectContext, DirectWork} from './context.js';
import {retryAfterMsOf} from './retry-after.js';

/**
 * Counts, logs and answers the failure of a call. Its status tells whether the
 * call may have run.
 *
 * @example
 * sendFailure({ctx, work, log, sent: 1, mayHaveRun: true, isTimedOut: false});
 */
export function sendFailure(
  options: FailureQuery & {
    ctx: DirectContext;
    work: DirectWork;
    log: CallLog;
    /** Number of targets to which the call was sent. */
    sent: number;
    /** The target that was running it. */
    target?: Target;
  },
): void {
  const {ctx, work, log, sent, target, mayHaveRun} = options;
  const {status, reason} = toFailureResponse(options);
  ctx.metrics.countRefusal(reason);
  log.recordFailure({status, reason, sent, target});
  const retryAfterMs = mayHaveRun ? undefined : retryAfterMsOf(ctx, work);
  work.res.sendRefusal({status, reason, retryAfterMs});
}
