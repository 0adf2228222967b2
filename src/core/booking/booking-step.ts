/**
 * The entry's side of a booking as a pure step function: an event and the
 * state give the next state and one effect. No clocks, sockets or store here,
 * so that schedules can be run over it by the hundred thousand.
 */
import type {PlainResponse} from '../edges/index.js';
import {MAX_MOVES, MAX_WRITE_ATTEMPTS} from './consts.js';
import type {BookingState} from './booking-state.js';
import {BookingPhase} from './booking-state.js';
import {EvidenceKind} from './decide-ran.js';
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

/** A state and what it asks for. */
export interface BookingStep {
  readonly state: BookingState;
  /** Undefined when the event changes nothing. */
  readonly effect?: BookingEffect;
}

/** The state before the first step. */
export function createBooking(options: {
  fingerprint: string;
  entryIncarnation: string;
  firstUse: boolean;
}): BookingState {
  return {
    ...options,
    phase: BookingPhase.NEW,
    soleSender: false,
    sent: false,
    writeInDoubt: false,
    agentGone: false,
    writeAttempts: 0,
    moves: 0,
  };
}

/**
 * Takes one step.
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
      return finish(state, abortEvidence(state));
    case EventKind.WRITE:
      return afterWrite(state, event.result, context);
    case EventKind.AGENT:
      return afterAgent(state, event.result, context);
    case EventKind.LOOK_UP:
      return afterLookUp(state, event.response, context);
  }
}

function begin(state: BookingState, context: StepContext): BookingStep {
  const {nonce, target, wallMs} = context;
  const claim: Claim = {
    nonce,
    // Without a target the key is voided at once, so that `no` stays true.
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
      const mine = stored!.claim.nonce === state.pending!.nonce;
      if (mine) return afterWritten(state, stored!, context);
      return afterMet(state, stored!, context);
    }
    case WriteOutcome.NO_EFFECT:
      return finish(state, unwrittenEvidence(state));
    case WriteOutcome.IN_DOUBT:
      return writeAgain({...state, writeInDoubt: true}, context);
  }
}

/** A write in doubt is settled by the same write: it can't happen twice. */
function writeAgain(state: BookingState, context: StepContext): BookingStep {
  const tries = state.writeAttempts + 1;
  if (context.late || tries >= MAX_WRITE_ATTEMPTS) {
    return finish(state, unwrittenEvidence(state));
  }
  const claim = state.pending!;
  const next = {...state, tries};
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
  const next = {...state, stored, doubt: false, tries: 0};
  switch (state.phase) {
    case BookingPhase.CLAIMING:
      if (stored.claim.state === ClaimState.VOIDED) {
        return finish(next, EvidenceKind.VOIDED_NO_TARGET);
      }
      return send({...next, soleSender: true, sent: false}, context);
    case BookingPhase.MOVING:
      return send(
        {...next, soleSender: true, sent: false, agentGone: false},
        context,
      );
    case BookingPhase.TAKING_OVER:
      return send({...next, soleSender: false}, context);
    default:
      return finish(next, voidedEvidence(context));
  }
}

function afterMet(
  state: BookingState,
  stored: StoredClaim,
  context: StepContext,
): BookingStep {
  const {claim} = stored;
  if (claim.fingerprint !== state.fingerprint) {
    return finish(state, EvidenceKind.OTHER_BODY);
  }
  if (claim.state === ClaimState.VOIDED) {
    return finish(state, EvidenceKind.VOIDED_BEFORE);
  }
  const next = {...state, stored, sole: false, doubt: false, gone: false};
  return ask({...next, writeAttempts: 0}, context, false);
}

function ask(
  state: BookingState,
  context: StepContext,
  again: boolean,
): BookingStep {
  if (context.late) return finish(state, abortEvidence(state));
  const place = placeOf(state.stored!.claim);
  return {
    state: {...state, phase: BookingPhase.QUERYING},
    effect: {kind: EffectKind.QUERY, agent: place, isRetry: again},
  };
}

/** The last moment at which a late entry can hold the booking back. */
function send(state: BookingState, context: StepContext): BookingStep {
  if (context.late) {
    return state.soleSender
      ? voidClaim(state, context)
      : finish(state, abortEvidence(state));
  }
  const {claim} = state.stored!;
  const {claimedAtMs} = claim;
  return {
    state: {...state, phase: BookingPhase.CALLING, sent: true},
    effect: {kind: EffectKind.CALL, agent: placeOf(claim), claimedAtMs},
  };
}

function afterAgent(
  state: BookingState,
  result: AgentResult,
  context: StepContext,
): BookingStep {
  const {kind: word, response} = result;
  switch (word) {
    case AgentResultKind.RESPONSE:
      return answer(state, response!);
    case AgentResultKind.OTHER_BODY:
      return finish(state, EvidenceKind.OTHER_BODY);
    case AgentResultKind.UNCERTAIN:
      return finish(state, EvidenceKind.TARGET_BROKE_OFF);
    case AgentResultKind.PROMISED_NEVER:
      return moveOrVoid(state, context);
    case AgentResultKind.UNSEEN:
      return takeOver(state, context);
    case AgentResultKind.NOT_SENT:
    case AgentResultKind.NOT_ADMITTED:
      return afterNotAdmitted(state, context);
    case AgentResultKind.GONE:
      return lookUp({...state, agentGone: true});
    case AgentResultKind.TIMEOUT:
    case AgentResultKind.LOST:
      return lookUp(state);
  }
}

/**
 * Whether a step may move the booking to another agent, so that a target has
 * to be chosen for it.
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
      return state.phase === BookingPhase.CALLING && state.soleSender;
    default:
      return false;
  }
}

/** This request's message will not run; others' may, unless `sole`. */
function afterNotAdmitted(
  state: BookingState,
  context: StepContext,
): BookingStep {
  const called = state.phase === BookingPhase.CALLING;
  if (called && state.soleSender) {
    return moveOrVoid({...state, sent: false}, context);
  }
  return lookUp(state);
}

function takeOver(state: BookingState, context: StepContext): BookingStep {
  const {claim} = state.stored!;
  if (claim.nonce === state.pending?.nonce) {
    // An earlier message may still arrive: only the agent can tell them apart.
    return send({...state, soleSender: false}, context);
  }
  if (context.late) return finish(state, abortEvidence(state));
  const {nonce} = context;
  const {entryIncarnation} = state;
  return swap(state, BookingPhase.TAKING_OVER, {
    ...claim,
    nonce,
    entryIncarnation,
  });
}

/** Nothing runs under the claim as it stands: run it elsewhere or void it. */
function moveOrVoid(state: BookingState, context: StepContext): BookingStep {
  const {claim} = state.stored!;
  const {target, nonce, late} = context;
  const elsewhere = target?.incarnation !== claim.agentIncarnation;
  const spent = state.moves >= MAX_MOVES;
  if (late || spent || target === undefined || !elsewhere) {
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
  if (response !== undefined) return answer(state, response);
  if (state.agentGone) return finish(state, EvidenceKind.AGENT_GONE);
  return ask(state, context, true);
}

function answer(state: BookingState, response: PlainResponse): BookingStep {
  return {
    state: {...state, phase: BookingPhase.DONE},
    effect: {kind: EffectKind.FINISH, response},
  };
}

function finish(state: BookingState, kind: EvidenceKind): BookingStep {
  return {
    state: {...state, phase: BookingPhase.DONE},
    effect: {kind: EffectKind.FINISH, evidence: {kind}},
  };
}

function placeOf(claim: Claim): AgentId {
  return {vm: claim.agentVm, incarnation: claim.agentIncarnation};
}
