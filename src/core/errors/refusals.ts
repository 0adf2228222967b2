/** Refusals: responses to requests that are not served, and their reasons. */

/** Whether the refused request ran at its target. */
export enum Executed {
  NO = 'no',
  YES = 'yes',
  UNKNOWN = 'unknown',
}

/** Reasons for a refusal; each has its own counter. */
export enum RefusalReason {
  BAD_REQUEST = 'bad_request',
  HEADERS_TOO_LARGE = 'headers_too_large',
  HEADERS_TOO_SLOW = 'headers_too_slow',
  BODY_TOO_LARGE = 'body_too_large',
  BODY_TOO_SLOW = 'body_too_slow',
  UNAUTHENTICATED = 'unauthenticated',
  UNKNOWN_SERVICE = 'unknown_service',
  BAD_EVENT_ID = 'bad_event_id',
  KEY_MISSING = 'key_missing',
  KEY_INVALID = 'key_invalid',
  KEY_REUSED = 'key_reused',
  DEADLINE_UNREACHABLE = 'deadline_unreachable',
  DEADLINE_EXCEEDED = 'deadline_exceeded',
  OVERLOADED = 'overloaded',
  ACCOUNT_LIMIT = 'account_limit',
  NO_TARGET = 'no_target',
  LEAVING = 'leaving',
  NOT_READY = 'not_ready',
  STORE_UNAVAILABLE = 'store_unavailable',
  CLAIM_VOIDED = 'claim_voided',
  CLAIM_UNCERTAIN = 'claim_uncertain',
  OUTCOME_UNKNOWN = 'outcome_unknown',
  TARGET_FAILED = 'target_failed',
  RESPONSE_TOO_LARGE = 'response_too_large',
  RETRY_BUDGET_SPENT = 'retry_budget_spent',
  POISON = 'poison',
  ANSWER_LOST = 'answer_lost',
  CALLER_GONE = 'caller_gone',
}

/** Why a request was retried; each reason has its own counter. */
export enum RetryReason {
  ENGINE_DIED = 'engine_died',
  ENGINE_STALLED = 'engine_stalled',
  AGENT_SILENT = 'agent_silent',
  AGENT_GONE = 'agent_gone',
  /** The end of output reported by an engine contradicts the request. */
  END_EARLY = 'end_early',
  /**
   * An end of output shortly after a resume is verified with another engine.
   */
  END_UNCONFIRMED = 'end_unconfirmed',
  /** A second attempt, concurrent with one whose agent sends nothing. */
  HEDGED = 'hedged',
  TARGET_LEAVING = 'target_leaving',
  TARGET_REFUSED = 'target_refused',
  /** Another target runs at the address now; the request did not run. */
  TARGET_REPLACED = 'target_replaced',
  NOT_SENT = 'not_sent',
  CALL_SLOW = 'call_slow',
  CALL_LOST = 'call_lost',
  STORE_CONFLICT = 'store_conflict',
  STORE_ANSWER_LOST = 'store_answer_lost',
}

/** A refusal of a request. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly ran: Executed;
  readonly detail: string;
  /**
   * Time after which to retry, in milliseconds; absent if a retry cannot help.
   */
  readonly retryAfterMs?: number;
}
