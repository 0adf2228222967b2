/** Decisions of an agent: admits a key once and answers its retries. */
import {KeyPhase} from '../protocol/index.js';

/** What an agent does with a call under a key. */
export enum KeyAction {
  /** Admit the key and run the call. */
  ADMIT = 'admit',
  /** Respond with the outcome of the first execution once it has ended. */
  RETURN_FIRST_OUTCOME = 'answer_first',
  /** Record that the key will never be admitted, and report it. */
  PROMISE_NEVER = 'promise_never',
  /** Refuse: the key was used with another body before. */
  REFUSE_OTHER_BODY = 'refuse_other_body',
  /** Refuse without a promise: the claim names another incarnation. */
  REFUSE_INCARNATION = 'refuse_incarnation',
  /** Refuse without a promise: the key table is full. */
  REFUSE_FULL = 'refuse_full',
  /** Report without a promise that the key was never seen. */
  REPORT_UNSEEN = 'say_unseen',
  /** Report the phase of the key. */
  REPORT_PHASE = 'say_phase',
}

/** A key in the table of the agent. */
export interface KnownKey {
  readonly phase: KeyPhase;
  readonly fingerprint: string;
}

/** A call under a key, and the state of the agent that received it. */
export interface CallContext {
  /** Undefined if the key was never seen. */
  readonly known?: KnownKey;
  readonly fingerprint: string;
  /** Incarnation that the claim names. */
  readonly incarnation: string;
  /** Incarnation of this agent. */
  readonly ownIncarnation: string;
  /** Whether the target accepts new work. */
  readonly takesWork: boolean;
  /** Whether the table of keys is full. */
  readonly isFull: boolean;
}

/**
 * Decides what an agent does with a call.
 *
 * @example
 * if (decideCall(context) === KeyAction.ADMIT) run(call);
 */
export function decideCall(context: CallContext): KeyAction {
  const {known, fingerprint, incarnation, ownIncarnation} = context;
  // The state of the key here does not apply to another incarnation.
  if (incarnation !== ownIncarnation) return KeyAction.REFUSE_INCARNATION;
  if (known !== undefined) {
    return known.fingerprint === fingerprint
      ? KeyAction.RETURN_FIRST_OUTCOME
      : KeyAction.REFUSE_OTHER_BODY;
  }
  if (context.isFull) return KeyAction.REFUSE_FULL;
  return context.takesWork ? KeyAction.ADMIT : KeyAction.PROMISE_NEVER;
}

/**
 * Decides how an agent responds to a query for a key.
 *
 * @example
 * // KeyAction.REPORT_UNSEEN
 * decideKeyQuery({known: undefined, promiseNever: false, isFull: false});
 */
export function decideKeyQuery(options: {
  known?: KnownKey;
  promiseNever: boolean;
  isFull: boolean;
}): KeyAction {
  const {known, promiseNever, isFull} = options;
  if (known === undefined) {
    return promiseNever && !isFull
      ? KeyAction.PROMISE_NEVER
      : KeyAction.REPORT_UNSEEN;
  }
  const hasOutcome =
    known.phase === KeyPhase.DONE || known.phase === KeyPhase.RUNNING;
  return hasOutcome ? KeyAction.RETURN_FIRST_OUTCOME : KeyAction.REPORT_PHASE;
}
