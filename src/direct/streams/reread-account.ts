/** Counts the prompt tokens of one stream that are read for nothing. */
import {RereadCause, rereadCauseOf} from '../../core/copies/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {DirectContext, DirectWork} from '../context.js';
import type {StreamAttempt} from './stream-attempt.js';

/**
 * Follows the attempts of a stream and counts its prompt, with a line in the
 * log, each time that an engine read it for nothing, by cause.
 *
 * @example
 * const rereads = new RereadAccount({ctx, work});
 * rereads.recordLoss({lost, didRun: true});
 * rereads.recordSent({usesCopy: false, isIsolated: false});
 */
export class RereadAccount {
  /** Why the next attempt from the prompt reads it again. */
  private cause?: RereadCause;

  constructor(
    private readonly options: {ctx: DirectContext; work: DirectWork},
  ) {}

  /** An attempt was lost. */
  recordLoss(options: {lost: StreamAttempt; didRun: boolean}): void {
    const {lost, didRun} = options;
    const {copyProgress: copy, usesCopy: usedCopy} = lost;
    this.cause = rereadCauseOf({didRun, usedCopy, copy, earlier: this.cause});
  }

  /** An attempt is sent. */
  recordSent(options: {usesCopy: boolean; isIsolated: boolean}): void {
    const {usesCopy, isIsolated} = options;
    if (usesCopy || this.cause === undefined) return;
    this.count(isIsolated ? RereadCause.ISOLATED : this.cause);
    this.cause = undefined;
  }

  /** The stream ended without success after its prompt was sent. */
  recordEnd(cause: RereadCause): void {
    this.count(cause);
  }

  private count(cause: RereadCause): void {
    const {ctx, work} = this.options;
    const tokens = work.req.generation?.promptTokens ?? 0;
    if (tokens === 0) return;
    ctx.metrics.count(CounterName.TOKENS_REREAD, {label: cause, by: tokens});
    const {attemptId: id} = work.req;
    ctx.logger.info('prompt read for nothing', {id, cause, tokens});
  }
}
