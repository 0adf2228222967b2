/** Refusals that callers receive when a generation fails. */
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {ENTRY_FAILED_DETAIL, RETRY_AFTER_MS} from '../consts.js';

/** The deadline passed before the output was complete. */
export function deadlineExceeded(mayHaveRun: boolean): Refusal {
  return {
    reason: RefusalReason.DEADLINE_EXCEEDED,
    ran: mayHaveRun ? Executed.UNKNOWN : Executed.NO,
    detail: 'the answer was not whole in time',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

/** Too many consecutive attempts produced no token. */
export function tooManyAttempts(attempts: number): Refusal {
  return {
    reason: RefusalReason.TARGET_FAILED,
    ran: Executed.UNKNOWN,
    detail: `${attempts} attempts in a row brought no token`,
    retryAfterMs: RETRY_AFTER_MS,
  };
}

/** The request crashed the engines that ran it. */
export function poisonRequestDetected(): Refusal {
  const detail = 'this request crashed the engines that ran it';
  return {reason: RefusalReason.POISON, ran: Executed.YES, detail};
}

/** The request is quarantined and was not sent to an engine. */
export function poisonRequestQuarantined(): Refusal {
  const detail = 'this request is known to crash engines';
  return {reason: RefusalReason.POISON, ran: Executed.NO, detail};
}

/** The output was not read for too long, or was replaced by another buffer. */
export function outputDiscarded(): Refusal {
  const detail = 'the answer is no longer kept here';
  return {reason: RefusalReason.ANSWER_LOST, ran: Executed.UNKNOWN, detail};
}

/** A target refused and the service has no retry budget left. */
export function retryBudgetSpent(): Refusal {
  return {
    reason: RefusalReason.RETRY_BUDGET_SPENT,
    ran: Executed.NO,
    detail: 'the target refused and the service has no retries left',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

/** This entry could not handle an event of the generation. */
export function entryFailed(): Refusal {
  return {
    reason: RefusalReason.TARGET_FAILED,
    ran: Executed.UNKNOWN,
    detail: ENTRY_FAILED_DETAIL,
  };
}
