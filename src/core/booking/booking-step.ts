/**
 * The booking state machine of an entry, as a pure function: it maps a state
 * and an event to the next state and at most one effect. It uses no clock,
 * socket or store, so that tests can run hundreds of thousands of schedules.
 */
import type {PlainResponse} from '../edges/index.js';
import {MAX_MOVES, MAX_WRITE_ATTEMPTS} from './consts.js';
import type {BookingState} from './booking-state.js';
import {BookingPhase} from './booking-state.js';
import {EvidenceKind} from './decide-verdict.js';
import {
  abortEvidence,
  unwrittenEvidence,
  voidedEvidence,
} from './step-evidence.js';
import type {
  AgentId,
  AgentResult,
  BookingEffect,
  BookingEvent,
  Claim,
  StepContext,
  StoredClaim,
  WriteResult,
} from './types.js';
import {
  AgentResultKind,
  ClaimState,
  EffectKind,
  EventKind,
  WriteOutcome,
} from './types.js';

/** The next state and its effect. */
export interface BookingStep {
  readonly state: BookingState;
  /** Undefined if the event changes nothing. */
  readonly effect?: BookingEffect;
}

/**
 * Returns the state before the first step.
 *
 * @example
 * createBooking({fingerprint, entryIncarnation: 'e-1', isFirstUse: false});
 */
export function createBooking(options: {
  fingerprint: string;
  entryIncarnation: string;
  isFirstUse: boolean;
}): BookingState {
  return {
    ...options,
    phase: BookingPhase.NEW,
    isSoleSender: false,
    isSent: false,
    isWriteInDoubt: false,
    isAgentGone: false,
    writeAttempts: 0,
    moves: 0,
  };
}

/**
 * Advances a booking by one event.
 *
 * @example
 * const {state, effect} = stepBooking(createBooking(request), begin, context);
 */
export function stepBooking(
  state: BookingState,
  event: BookingEvent,
  context: StepContext,
): BookingStep {
  if (state.phase === BookingPhase.DONE) return {state};
  switch (event.kind) {
    case EventKind.BEGIN:
      return begin(state, context);
    case EventKind.ABORT:
      return finishWithEvidence(state, abortEvidence(state));
    case EventKind.WRITE:
      return afterWrite(state, event.result, context);
    case EventKind.AGENT:
      return afterAgentResult(state, event.result, context);
    case EventKind.LOOK_UP:
      return afterLookUp(state, event.response, context);
  }
}

function begin(state: BookingState, context: StepContext): BookingStep {
  const {nonce, target, wallMs} = context;
  const claim: Claim = {
    nonce,
    // Without a target the claim is voided. The key can then never run, so the
    // verdict Executed.NO remains true.
    state: target === undefined ? ClaimState.VOIDED : ClaimState.HELD,
    fingerprint: state.fingerprint,
    agentVm: target?.vm ?? '',
    agentIncarnation: target?.incarnation ?? '',
    entryIncarnation: state.entryIncarnation,
    claimedAtMs: wallMs,
  };
  return {
    state: {...state, phase: BookingPhase.CLAIMING, pending: claim},
    effect: {kind: EffectKind.CREATE, claim, isRetry: false},
  };
}

function afterWrite(
  state: BookingState,
  result: WriteResult,
  context: StepContext,
): BookingStep {
  const {stored, outcome} = result;
  switch (outcome) {
    case WriteOutcome.WRITTEN:
      return afterWritten(state, stored!, context);
    case WriteOutcome.CONFLICT: {
      const isOwn = stored!.claim.nonce === state.pending!.nonce;
      if (isOwn) return afterWritten(state, stored!, context);
      return afterConflict(state, stored!, context);
    }
    case WriteOutcome.NO_EFFECT:
      return finishWithEvidence(state, unwrittenEvidence(state));
    case WriteOutcome.IN_DOUBT:
      return retryWrite({...state, isWriteInDoubt: true}, context);
  }
}

/** Repeats a write in doubt; conditional writes take effect only once. */
function retryWrite(state: BookingState, context: StepContext): BookingStep {
  const writeAttempts = state.writeAttempts + 1;
  if (context.isPastDeadline || writeAttempts >= MAX_WRITE_ATTEMPTS) {
    return finishWithEvidence(state, unwrittenEvidence(state));
  }
  const claim = state.pending!;
  const next = {...state, writeAttempts};
  const effect: BookingEffect =
    state.phase === BookingPhase.CLAIMING
      ? {kind: EffectKind.CREATE, claim, isRetry: true}
      : {kind: EffectKind.SWAP, expected: state.stored!, claim, isRetry: true};
  return {state: next, effect};
}

function afterWritten(
  state: BookingState,
  stored: StoredClaim,
  context: StepContext,
): BookingStep {
  const next = {...state, stored, isWriteInDoubt: false, writeAttempts: 0};
  switch (state.phase) {
    case BookingPhase.CLAIMING:
      if (stored.claim.state === ClaimState.VOIDED) {
        return finishWithEvidence(next, EvidenceKind.VOIDED_NO_TARGET);
      }
      return send({...next, isSoleSender: true, isSent: false}, context);
    case BookingPhase.MOVING:
      return send(
        {...next, isSoleSender: true, isSent: false, isAgentGone: false},
        context,
      );
    case BookingPhase.TAKING_OVER:
      return send({...next, isSoleSender: false}, context);
    default:
      return finishWithEvidence(next, voidedEvidence(context));
  }
}

function afterConflict(
  state: BookingState,
  stored: StoredClaim,
  context: StepContext,
): BookingStep {
  const {claim} = stored;
  if (claim.fingerprint !== state.fingerprint) {
    return finishWithEvidence(state, EvidenceKind.OTHER_BODY);
  }
  if (claim.state === ClaimState.VOIDED) {
    return finishWithEvidence(state, EvidenceKind.VOIDED_BEFORE);
  }
  const next = {
    ...state,
    stored,
    isSoleSender: false,
    isWriteInDoubt: false,
    isAgentGone: false,
  };
  return queryAgent({...next, writeAttempts: 0}, context, false);
}

function queryAgent(
  state: BookingState,
  context: StepContext,
  isRetry: boolean,
): BookingStep {
  if (context.isPastDeadline)
    return finishWithEvidence(state, abortEvidence(state));
  const agent = agentOf(state.stored!.claim);
  return {
    state: {...state, phase: BookingPhase.QUERYING},
    effect: {kind: EffectKind.QUERY, agent, isRetry},
  };
}

/**
 * Sends the booking unless the deadline has passed. This is the last step at
 * which the entry can still prevent the execution.
 */
function send(state: BookingState, context: StepContext): BookingStep {
  if (context.isPastDeadline) {
    return state.isSoleSender
      ? voidClaim(state, context)
      : finishWithEvidence(state, abortEvidence(state));
  }
  const {claim} = state.stored!;
  const {claimedAtMs} = claim;
  return {
    state: {...state, phase: BookingPhase.CALLING, isSent: true},
    effect: {kind: EffectKind.CALL, agent: agentOf(claim), claimedAtMs},
  };
}

function afterAgentResult(
  state: BookingState,
  result: AgentResult,
  context: StepContext,
): BookingStep {
  const {kind, response} = result;
  switch (kind) {
    case AgentResultKind.RESPONSE:
      return finishWithResponse(state, response!);
    case AgentResultKind.OTHER_BODY:
      return finishWithEvidence(state, EvidenceKind.OTHER_BODY);
    case AgentResultKind.UNCERTAIN:
      return finishWithEvidence(state, EvidenceKind.TARGET_BROKE_OFF);
    case AgentResultKind.PROMISED_NEVER:
      return moveOrVoid(state, context);
    case AgentResultKind.UNSEEN:
      return takeOver(state, context);
    case AgentResultKind.NOT_SENT:
    case AgentResultKind.NOT_ADMITTED:
      return afterNotAdmitted(state, context);
    case AgentResultKind.GONE:
      return lookUp({...state, isAgentGone: true});
    case AgentResultKind.TIMEOUT:
    case AgentResultKind.LOST:
      return lookUp(state);
  }
}

/**
 * Returns whether a step may move the booking to another agent, so that the
 * step needs a target.
 *
 * @example
 * const target = mayMove(state, event) ? choose() : undefined;
 */
export function mayMove(state: BookingState, event: BookingEvent): boolean {
  if (event.kind !== EventKind.AGENT) return false;
  switch (event.result.kind) {
    case AgentResultKind.PROMISED_NEVER:
      return true;
    case AgentResultKind.NOT_SENT:
    case AgentResultKind.NOT_ADMITTED:
      return state.phase === BookingPhase.CALLING && state.isSoleSender;
    default:
      return false;
  }
}

/**
 * Handles a message that was not sent or not admitted, so that it will not run.
 * The message of another request may still run, unless this request is the sole
 * sender.
 */
function afterNotAdmitted(
  state: BookingState,
  context: StepContext,
): BookingStep {
  const isCall = state.phase === BookingPhase.CALLING;
  if (isCall && state.isSoleSender) {
    return moveOrVoid({...state, isSent: false}, context);
  }
  return lookUp(state);
}

/**
 * Replaces another request's claim before this request sends the booking. The
 * other request can then no longer move or void the booking, as its writes are
 * conditional on its own claim.
 */
function takeOver(state: BookingState, context: StepContext): BookingStep {
  const {claim} = state.stored!;
  if (claim.nonce === state.pending?.nonce) {
    // An earlier message of this request may still arrive; the agent admits
    // only one of them.
    return send({...state, isSoleSender: false}, context);
  }
  if (context.isPastDeadline)
    return finishWithEvidence(state, abortEvidence(state));
  const {nonce} = context;
  const {entryIncarnation} = state;
  return swap(state, BookingPhase.TAKING_OVER, {
    ...claim,
    nonce,
    entryIncarnation,
  });
}

/**
 * Moves the booking to another agent if there is one, or else voids the claim.
 * Nothing ran or will run under the current claim.
 */
function moveOrVoid(state: BookingState, context: StepContext): BookingStep {
  const {claim} = state.stored!;
  const {target, nonce, isPastDeadline} = context;
  const isOtherAgent = target?.incarnation !== claim.agentIncarnation;
  const areMovesExhausted = state.moves >= MAX_MOVES;
  if (
    isPastDeadline ||
    areMovesExhausted ||
    target === undefined ||
    !isOtherAgent
  ) {
    return voidClaim(state, context);
  }
  const moved = {...state, moves: state.moves + 1};
  return swap(moved, BookingPhase.MOVING, {
    ...claim,
    nonce,
    agentVm: target.vm,
    agentIncarnation: target.incarnation,
    entryIncarnation: state.entryIncarnation,
  });
}

function voidClaim(state: BookingState, context: StepContext): BookingStep {
  const {claim} = state.stored!;
  const {nonce} = context;
  return swap(state, BookingPhase.VOIDING, {
    ...claim,
    nonce,
    state: ClaimState.VOIDED,
  });
}

function swap(
  state: BookingState,
  phase: BookingPhase,
  claim: Claim,
): BookingStep {
  const expected = state.stored!;
  return {
    state: {...state, phase, pending: claim, writeAttempts: 0},
    effect: {kind: EffectKind.SWAP, expected, claim, isRetry: false},
  };
}

function lookUp(state: BookingState): BookingStep {
  const {claim} = state.stored!;
  return {
    state: {...state, phase: BookingPhase.LOOKING_UP},
    effect: {kind: EffectKind.LOOK_UP, claim},
  };
}

function afterLookUp(
  state: BookingState,
  response: PlainResponse | undefined,
  context: StepContext,
): BookingStep {
  if (response !== undefined) return finishWithResponse(state, response);
  if (state.isAgentGone)
    return finishWithEvidence(state, EvidenceKind.AGENT_GONE);
  return queryAgent(state, context, true);
}

function finishWithResponse(
  state: BookingState,
  response: PlainResponse,
): BookingStep {
  return {
    state: {...state, phase: BookingPhase.DONE},
    effect: {kind: EffectKind.FINISH, response},
  };
}

function finishWithEvidence(
  state: BookingState,
  kind: EvidenceKind,
): BookingStep {
  return {
    state: {...state, phase: BookingPhase.DONE},
    effect: {kind: EffectKind.FINISH, evidence: {kind}},
  };
}

function agentOf(claim: Claim): AgentId {
  return {vm: claim.agentVm, incarnation: claim.agentIncarnation};
}
