/**
 * Decides, as a pure function of typed evidence, what a refusal states: whether
 * the booking ran and why it was refused. It states Executed.NO only if no later
 * event can make that false.
 */
import {Executed, RefusalReason} from '../errors/refusals.js';

/** What an entry can prove about a booking that ends without an outcome. */
export enum EvidenceKind {
  /** The key is claimed with another body; this body was never claimed. */
  OTHER_BODY = 'other_body',
  /** Voided permanently: no target could be reached. */
  VOIDED_NO_TARGET = 'voided_no_target',
  /** Voided permanently: the deadline passed before it was sent. */
  VOIDED_LATE = 'voided_late',
  /** Voided permanently by an earlier request with this key. */
  VOIDED_BEFORE = 'voided_before',
  /** The store wrote nothing, and the caller declares the key as new. */
  NOT_CLAIMED_FIRST_USE = 'not_claimed_first_use',
  /** The store wrote nothing; an earlier request may have run. */
  NOT_CLAIMED = 'not_claimed',
  /** A write of the claim may have taken effect, or still may. */
  CLAIM_IN_DOUBT = 'claim_in_doubt',
  /** Another request holds the claim; there was no time to query its agent. */
  HELD_BY_OTHER = 'held_by_other',
  /** Not sent by this request, but it is not certain that the claim is void. */
  VOID_IN_DOUBT = 'void_in_doubt',
  /** Sent; the deadline passed without a response. */
  NO_ANSWER = 'no_answer',
  /** Sent to the target, which returned no complete response. */
  TARGET_BROKE_OFF = 'target_broke_off',
  /** The agent incarnation in the claim is gone and recorded no outcome. */
  AGENT_GONE = 'agent_gone',
}

/** Evidence about a booking that ended without an outcome. */
export interface Evidence {
  readonly kind: EvidenceKind;
}

/** Contents of the refusal of a booking. */
export interface Verdict {
  /** Whether the booking ran. */
  readonly ran: Executed;
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Whether the refusal asks the caller to retry later (Retry-After). */
  readonly retryLater: boolean;
}

/**
 * Returns the verdict for the evidence.
 *
 * @example
 * decideVerdict({kind: EvidenceKind.AGENT_GONE}).ran; // Executed.UNKNOWN
 */
export function decideVerdict(evidence: Evidence): Verdict {
  return VERDICTS[evidence.kind];
}

const VERDICTS: Readonly<Record<EvidenceKind, Verdict>> = {
  [EvidenceKind.OTHER_BODY]: {
    ran: Executed.NO,
    reason: RefusalReason.KEY_REUSED,
    detail: 'this key came with another request before; this one did not run',
    retryLater: false,
  },
  [EvidenceKind.VOIDED_NO_TARGET]: {
    ran: Executed.NO,
    reason: RefusalReason.NO_TARGET,
    detail: 'no target could be reached; the key is void, use a new one',
    retryLater: true,
  },
  [EvidenceKind.VOIDED_LATE]: {
    ran: Executed.NO,
    reason: RefusalReason.DEADLINE_EXCEEDED,
    detail: 'not sent in time; the key is void, use a new one',
    retryLater: true,
  },
  [EvidenceKind.VOIDED_BEFORE]: {
    ran: Executed.NO,
    reason: RefusalReason.CLAIM_VOIDED,
    detail: 'the key did not run and never will; use a new one',
    retryLater: false,
  },
  [EvidenceKind.NOT_CLAIMED_FIRST_USE]: {
    ran: Executed.NO,
    reason: RefusalReason.STORE_UNAVAILABLE,
    detail: 'the platform does not answer; no new booking starts',
    retryLater: true,
  },
  [EvidenceKind.NOT_CLAIMED]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.STORE_UNAVAILABLE,
    detail:
      'the platform does not answer; this request started nothing, an ' +
      'earlier one with the same key may have run',
    retryLater: true,
  },
  [EvidenceKind.CLAIM_IN_DOUBT]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.CLAIM_UNCERTAIN,
    detail: 'it is not known whether the claim was written; nothing was sent',
    retryLater: true,
  },
  [EvidenceKind.HELD_BY_OTHER]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.CLAIM_UNCERTAIN,
    detail: 'another request holds this key at the moment',
    retryLater: true,
  },
  [EvidenceKind.VOID_IN_DOUBT]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.CLAIM_UNCERTAIN,
    detail: 'not sent, but another request may still run this key',
    retryLater: true,
  },
  [EvidenceKind.NO_ANSWER]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.OUTCOME_UNKNOWN,
    detail: 'sent; no answer came before the deadline',
    retryLater: true,
  },
  [EvidenceKind.TARGET_BROKE_OFF]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.OUTCOME_UNKNOWN,
    detail: 'the target broke off while it ran the booking',
    retryLater: false,
  },
  [EvidenceKind.AGENT_GONE]: {
    ran: Executed.UNKNOWN,
    reason: RefusalReason.OUTCOME_UNKNOWN,
    detail: 'the agent that was sent the booking is gone',
    retryLater: false,
  },
};
