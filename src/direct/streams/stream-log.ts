/** Logs what happens to one stream. */
import {RereadCause} from '../../core/copies/index.js';
import {RefusalReason} from '../../core/errors/refusals.js';
import type {Target} from '../../core/targets/index.js';
import type {DirectContext, DirectWork} from '../context.js';
import {RereadAccount} from './reread-account.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {TargetLoss} from './target-loss.js';
import {lostBeforeRun} from './target-loss.js';

/** Status of a failure that promises that no engine has run the stream. */
const NOT_RUN_STATUS = 503;

/** Age that is logged for reports that were never received, in ms. */
const MAX_LOGGED_AGE_MS = 1e6;

/**
 * Writes the lines of one stream that is lost, resumed or sent again, and counts
 * what its engines read for nothing.
 *
 * @example
 * const log = new StreamLog({ctx, work});
 * log.recordLoss(attempt, loss, sequence.count);
 */
export class StreamLog {
  private readonly rereads: RereadAccount;

  constructor(
    private readonly options: {ctx: DirectContext; work: DirectWork},
  ) {
    this.rereads = new RereadAccount(options);
  }

  /** An attempt has failed after `events` events of the whole stream. */
  recordLoss(lost: StreamAttempt, loss: TargetLoss, events: number): void {
    this.rereads.recordLoss({lost, didRun: !lostBeforeRun(loss)});
    this.write('stream attempt failed', {
      target: lost.target.id,
      dataCentre: lost.target.record.dataCentre,
      copy: lost.copy?.holder.id,
      events,
      reason: loss.reason,
      detail: loss.detail,
    });
  }

  recordCopyLost(holder: Target): void {
    this.write('KV cache copy not usable for resume', {
      holder: holder.id,
      dataCentre: holder.record.dataCentre,
      isLeaving: holder.record.isDraining,
      isPaused: holder.isPaused(),
    });
  }

  /** `isIsolated`: it runs apart from others that lost the same engines. */
  recordPlacement(attempt: StreamAttempt, isIsolated: boolean): void {
    const {target, copy, copyFrom, usesCopy} = attempt;
    this.rereads.recordSent({usesCopy, isIsolated});
    this.write('stream retried or resumed at target', {
      target: target.id,
      dataCentre: target.record.dataCentre,
      requests: target.estimatedRequests(),
      unread: target.estimatedPrefills(),
      reportAgeMs: Math.round(
        Math.min(target.reportAgeMs(), MAX_LOGGED_AGE_MS),
      ),
      usesCopy,
      copyFrom: copyFrom && `${copyFrom.address}/${copyFrom.id}`,
      copyAt: copy?.holder.record.dataCentre,
    });
  }

  /** The caller has left before the end of a stream that was sent. */
  recordCallerLeft(): void {
    this.rereads.recordEnd(RereadCause.CALLER_LEFT);
  }

  /** The stream has ended without success. */
  recordFailure(options: {
    status: number;
    reason: RefusalReason;
    events: number;
    /** Attempts that began with the prompt. */
    tries: number;
    /** Target that ran it last, if it still did. */
    target?: Target;
  }): void {
    const {target, ...fields} = options;
    const isLate = options.reason === RefusalReason.DEADLINE_EXCEEDED;
    if (options.status !== NOT_RUN_STATUS)
      this.rereads.recordEnd(isLate ? RereadCause.LATE : RereadCause.FAILED);
    const {ctx, work} = this.options;
    const heldMs = Math.round(ctx.clock.now() - work.req.receivedMs);
    this.write('stream failed', {
      ...fields,
      target: target?.id,
      unread: target?.estimatedPrefills(),
      heldMs,
      deadlineMs: work.req.deadlineMs,
    });
  }

  private write(message: string, fields: object): void {
    const {ctx, work} = this.options;
    ctx.logger.info(message, {id: work.req.attemptId, ...fields});
  }
}
