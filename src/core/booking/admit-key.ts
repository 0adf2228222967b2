/**
 * Decides how an agent handles calls and queries for an idempotency key: it
 * admits a key once and answers retries with the first outcome.
 */
import {KeyPhase} from '../protocol/index.js';

/** What an agent does with a call or a query for a key. */
export enum KeyAction {
  /** Admit the key and run the call. */
  ADMIT = 'admit',
  /** Respond with the outcome of the first execution once it has ended. */
  RETURN_FIRST_OUTCOME = 'answer_first',
  /** Promise never to admit the key: record the promise and report it. */
  PROMISE_NEVER = 'promise_never',
  /** Refuse: the key was used with another body before. */
  REFUSE_OTHER_BODY = 'refuse_other_body',
  /** Refuse without such a promise: the claim names another incarnation. */
  REFUSE_INCARNATION = 'refuse_incarnation',
  /** Refuse without such a promise: the key table is full. */
  REFUSE_FULL = 'refuse_full',
  /** Report that the key was never seen; it may still be admitted later. */
  REPORT_UNSEEN = 'say_unseen',
  /** Report the phase of the key. */
  REPORT_PHASE = 'say_phase',
}

/** A key in the table of the agent. */
export interface KnownKey {
  readonly phase: KeyPhase;
  readonly fingerprint: string;
}

/** A call with a key, and the state of the agent that received it. */
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
  // What this agent recorded of the key does not apply to another incarnation.
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
  /** Undefined if the key was never seen. */
  known?: KnownKey;
  /** Whether the query requests a promise never to admit an unseen key. */
  promiseNever: boolean;
  /** Whether the table of keys is full, so that no promise can be recorded. */
  isFull: boolean;
}): KeyAction {
  const {known, promiseNever, isFull} = options;
  if (known === undefined) {
    return promiseNever && !isFull
      ? KeyAction.PROMISE_NEVER
      : KeyAction.REPORT_UNSEEN;
  }
  const isRunningOrDone =
    known.phase === KeyPhase.DONE || known.phase === KeyPhase.RUNNING;
  return isRunningOrDone
    ? KeyAction.RETURN_FIRST_OUTCOME
    : KeyAction.REPORT_PHASE;
}
