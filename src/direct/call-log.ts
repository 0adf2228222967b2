/** Logs what happens to one plain call. */
import type {ExchangeFailure} from '../core/edges/direct-target.js';
import type {RefusalReason, RetryReason} from '../core/errors/refusals.js';
import type {Target} from '../core/targets/index.js';
import type {DirectContext, DirectWork} from './context.js';

/**
 * Writes the lines of one call that fails or is sent again.
 *
 * @example
 * const log = new CallLog({ctx, work});
 * log.recordRetry(RetryReason.CALL_SLOW, target);
 */
export class CallLog {
  constructor(
    private readonly options: {ctx: DirectContext; work: DirectWork},
  ) {}

  recordNoTarget(): void {
    const {ctx, work} = this.options;
    const service = work.service.name;
    ctx.logger.warn('no usable target for call', {service});
  }

  recordFailedAttempt(
    target: Target,
    failure: ExchangeFailure,
    detail: string,
  ): void {
    this.write('call attempt failed', {target: target.id, failure, detail});
  }

  /** Counts a retry, and logs it. */
  recordRetry(reason: RetryReason, from: Target): void {
    this.options.ctx.metrics.countRetry(reason);
    this.write('call retried at another target', {reason, from: from.id});
  }

  /** The call has ended without success. */
  recordFailure(options: {
    status: number;
    reason: RefusalReason;
    /** Finished attempts that count towards the maximum of the route. */
    sent: number;
    /** Target that ran it last, if it still did. */
    target?: Target;
  }): void {
    const {target, ...fields} = options;
    const {ctx, work} = this.options;
    this.write('call failed', {
      ...fields,
      target: target?.id,
      heldMs: Math.round(ctx.clock.now() - work.req.receivedMs),
      deadlineMs: work.req.deadlineMs,
    });
  }

  private write(message: string, fields: object): void {
    const {ctx, work} = this.options;
    ctx.logger.info(message, {id: work.req.attemptId, ...fields});
  }
}
