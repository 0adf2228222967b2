/** Refusals as problem documents (RFC 9457). */
import type {Refusal} from '../../core/errors/index.js';
import {REFUSALS} from '../../core/errors/index.js';

const MS_PER_SECOND = 1_000;

/** Content type of a problem document. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** A refusal in the format that callers receive. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: string;
  /** Whether the request was executed: `no`, `yes` or `unknown`. */
  readonly ran: string;
  readonly hint: string;
  readonly retryAfterMs?: number;
  /** The same refusal in the format of OpenAI client libraries. */
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
  };
}

/**
 * Converts a refusal to a problem document.
 *
 * @example
 * const reason = RefusalReason.OVERLOADED;
 * createProblem({reason, ran: Executed.NO, detail: ''});
 */
export function createProblem(refusal: Refusal): ProblemDocument {
  const {data, status} = REFUSALS[refusal.reason];
  const {reason, ran, detail, retryAfterMs} = refusal;
  return {
    type: `urn:plantainrill:refusal:${reason}`,
    title: data.title,
    status,
    detail,
    reason,
    ran,
    hint: data.hint,
    retryAfterMs,
    error: {message: detail, type: 'refusal', code: reason},
  };
}

/**
 * Creates the response for a refusal, with the time to wait before a retry in
 * `Retry-After`, rounded up to whole seconds.
 *
 * @example
 * return createProblemResponse(refusal);
 */
export function createProblemResponse(refusal: Refusal): Response {
  const problem = createProblem(refusal);
  const headers = new Headers({'content-type': PROBLEM_CONTENT_TYPE});
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers.set('retry-after', String(seconds));
  }
  const {status} = problem;
  return new Response(JSON.stringify(problem), {status, headers});
}
