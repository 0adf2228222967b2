/** Refusals: responses to requests that are not served, and their reasons. */

/** Whether the refused request ran at its target. */
export enum Executed {
  NO = 'no',
  YES = 'yes',
  UNKNOWN = 'unknown',
}

/** Reasons for a refusal; each has its own counter and catalogue entry. */
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
  TARGET_LIMIT = 'target_limit',
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
  INTERNAL = 'internal',
}

/** Why a request was retried; each reason has its own counter. */
export enum RetryReason {
  /** The engine failed, or what it sent was malformed. */
  ENGINE_DIED = 'engine_died',
  /** The engine produced no output for too long. */
  ENGINE_STALLED = 'engine_stalled',
  /** The agent sent nothing for too long, although it is connected. */
  AGENT_SILENT = 'agent_silent',
  /** The connection to the agent is closed. */
  AGENT_GONE = 'agent_gone',
  /** The end of output reported by an engine contradicts the request. */
  END_EARLY = 'end_early',
  /**
   * An end of output shortly after a resume is verified with another engine.
   */
  END_UNCONFIRMED = 'end_unconfirmed',
  /** A second attempt, concurrent with one whose agent sends nothing. */
  HEDGED = 'hedged',
  /** The target is draining, so the generation moves to another one. */
  TARGET_LEAVING = 'target_leaving',
  /** The target refused the request without running it. */
  TARGET_REFUSED = 'target_refused',
  /** Another target runs at the address now; the request did not run. */
  TARGET_REPLACED = 'target_replaced',
  /** The request never reached the target. */
  NOT_SENT = 'not_sent',
  /** The entry itself held the request back from the target. */
  HELD_BACK = 'held_back',
  /** No response arrived within the time allowed for the attempt. */
  CALL_SLOW = 'call_slow',
  /** The call was sent, but no complete response was received. */
  CALL_LOST = 'call_lost',
  /** Another process changed the claim of a booking at the same time. */
  STORE_CONFLICT = 'store_conflict',
  /** The caller did not read for so long that the target cut its stream off. */
  CALLER_SLOW = 'caller_slow',
  /** The response to a write of a claim was lost, so it is written again. */
  STORE_ANSWER_LOST = 'store_answer_lost',
}

/** A refusal of a request. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly ran: Executed;
  /** Why this request was refused, as shown to the caller. */
  readonly detail: string;
  /**
   * Time after which to retry, in milliseconds; absent if a retry cannot help.
   */
  readonly retryAfterMs?: number;
}
