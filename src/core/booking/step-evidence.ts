/** What is known of a booking whose steps end without an answer. */
import type {BookingState} from './booking-state.js';
import {BookingPhase} from './booking-state.js';
import {EvidenceKind} from './decide-ran.js';
import type {StepContext} from './types.js';

/**
 * What is known when a write certainly failed or stays in doubt.
 *
 * @example
 * finish(state, unwrittenEvidence(state));
 */
export function unwrittenEvidence(state: BookingState): EvidenceKind {
  if (state.phase === BookingPhase.VOIDING) return EvidenceKind.VOID_IN_DOUBT;
  if (state.phase === BookingPhase.TAKING_OVER) return abortEvidence(state);
  if (state.phase === BookingPhase.MOVING) return EvidenceKind.VOID_IN_DOUBT;
  if (state.writeInDoubt) return EvidenceKind.CLAIM_IN_DOUBT;
  return state.firstUse
    ? EvidenceKind.NOT_CLAIMED_FIRST_USE
    : EvidenceKind.NOT_CLAIMED;
}

/**
 * What is known when the caller is answered in the middle; never `no`.
 *
 * @example
 * finish(state, giveUpEvidence(state));
 */
export function abortEvidence(state: BookingState): EvidenceKind {
  if (state.sent) return EvidenceKind.NO_ANSWER;
  switch (state.phase) {
    case BookingPhase.NEW:
      return EvidenceKind.NOT_CLAIMED;
    case BookingPhase.CLAIMING:
      return state.stored === undefined
        ? EvidenceKind.CLAIM_IN_DOUBT
        : EvidenceKind.HELD_BY_OTHER;
    case BookingPhase.MOVING:
    case BookingPhase.VOIDING:
      return EvidenceKind.VOID_IN_DOUBT;
    default:
      return EvidenceKind.HELD_BY_OTHER;
  }
}

/**
 * What is known when a claim was voided.
 *
 * @example
 * finish(state, voidedEvidence(context));
 */
export function voidedEvidence(context: StepContext): EvidenceKind {
  return context.late
    ? EvidenceKind.VOIDED_LATE
    : EvidenceKind.VOIDED_NO_TARGET;
}
