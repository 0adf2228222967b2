/** Selects the evidence for bookings that end without an outcome. */
import type {BookingState} from './booking-state.js';
import {BookingPhase} from './booking-state.js';
import {EvidenceKind} from './decide-verdict.js';
import type {StepContext} from './types.js';

/**
 * Returns the evidence for a write that failed or stays in doubt.
 *
 * @example
 * finishWithEvidence(state, unwrittenEvidence(state));
 */
export function unwrittenEvidence(state: BookingState): EvidenceKind {
  if (state.phase === BookingPhase.VOIDING) return EvidenceKind.VOID_IN_DOUBT;
  if (state.phase === BookingPhase.TAKING_OVER) return abortEvidence(state);
  if (state.phase === BookingPhase.MOVING) return EvidenceKind.VOID_IN_DOUBT;
  if (state.isWriteInDoubt) return EvidenceKind.CLAIM_IN_DOUBT;
  return state.isFirstUse
    ? EvidenceKind.NOT_CLAIMED_FIRST_USE
    : EvidenceKind.NOT_CLAIMED;
}

/**
 * Returns the evidence for a booking that is aborted while in progress; it
 * never leads to the verdict Executed.NO.
 *
 * @example
 * finishWithEvidence(state, abortEvidence(state));
 */
export function abortEvidence(state: BookingState): EvidenceKind {
  if (state.isSent) return EvidenceKind.NO_ANSWER;
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
 * Returns the evidence for a claim that this request voided.
 *
 * @example
 * finishWithEvidence(state, voidedEvidence(context));
 */
export function voidedEvidence(context: StepContext): EvidenceKind {
  return context.isPastDeadline
    ? EvidenceKind.VOIDED_LATE
    : EvidenceKind.VOIDED_NO_TARGET;
}
