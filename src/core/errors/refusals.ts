/** Refusals: what a caller is told when a request is not served. */

/** Whether the refused request had any effect at its target. */
export enum Executed {
  NO = 'no',
  YES = 'yes',
  UNKNOWN = 'unknown',
}

/** Every reason for a refusal; each has its own counter. */
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

/** Why a piece of work was sent again; each has its own counter. */
export enum RetryReason {
  ENGINE_DIED = 'engine_died',
  ENGINE_STALLED = 'engine_stalled',
  AGENT_SILENT = 'agent_silent',
  AGENT_GONE = 'agent_gone',
  /** An engine ended an answer against the request. */
  END_EARLY = 'end_early',
  /** An end shortly after a resume is confirmed by another engine. */
  END_UNCONFIRMED = 'end_unconfirmed',
  /** A second attempt beside one whose agent is quiet. */
  HEDGED = 'hedged',
  TARGET_LEAVING = 'target_leaving',
  TARGET_REFUSED = 'target_refused',
  /** Another target has started at the address; nothing ran. */
  TARGET_REPLACED = 'target_replaced',
  NOT_SENT = 'not_sent',
  CALL_SLOW = 'call_slow',
  CALL_LOST = 'call_lost',
  STORE_CONFLICT = 'store_conflict',
  STORE_ANSWER_LOST = 'store_answer_lost',
}

/** A refusal on its way to the caller. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly ran: Executed;
  readonly detail: string;
  /** When to come back, in milliseconds; absent where coming back is vain. */
  readonly retryAfterMs?: number;
}
