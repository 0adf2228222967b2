/** The agent's side of a booking: admit a key once, answer repeats. */
import {KeyPhase} from '../protocol/index.js';

/** What an agent does with a call under a key. */
export enum KeyAction {
  /** Run it; the key is admitted. */
  ADMIT = 'admit',
  /** Answer with the first outcome, once there is one. */
  RETURN_FIRST_OUTCOME = 'answer_first',
  /** Record that the key will never be admitted, and say so. */
  PROMISE_NEVER = 'promise_never',
  /** The key came with another body. */
  REFUSE_OTHER_BODY = 'refuse_other_body',
  /** The claim names another incarnation; nothing is promised. */
  REFUSE_INCARNATION = 'refuse_incarnation',
  /** No room to remember the key; nothing is promised. */
  REFUSE_FULL = 'refuse_full',
  /** Say that the key was never seen; nothing is promised. */
  REPORT_UNSEEN = 'say_unseen',
  /** Say what phase the key is in. */
  REPORT_PHASE = 'say_phase',
}

/** What the agent knows of the key. */
export interface KnownKey {
  readonly phase: KeyPhase;
  readonly fingerprint: string;
}

/** What the agent is asked, and what holds at the moment. */
export interface CallContext {
  /** Undefined where the key was never seen. */
  readonly known?: KnownKey;
  readonly fingerprint: string;
  /** Incarnation that the claim names. */
  readonly incarnation: string;
  /** Incarnation of this agent. */
  readonly ownIncarnation: string;
  /** Whether the target takes new work. */
  readonly takesWork: boolean;
  /** Whether the table of keys is full. */
  readonly isFull: boolean;
}

/**
 * Decides what to do with a call.
 *
 * @example
 * if (decideCall(question) === KeyAction.ADMIT) run(call);
 */
export function decideCall(question: CallContext): KeyAction {
  const {known, fingerprint, incarnation, ownIncarnation} = question;
  // Even what this one knows of the key says nothing of the one that is named.
  if (incarnation !== ownIncarnation) return KeyAction.REFUSE_INCARNATION;
  if (known !== undefined) {
    return known.fingerprint === fingerprint
      ? KeyAction.RETURN_FIRST_OUTCOME
      : KeyAction.REFUSE_OTHER_BODY;
  }
  if (question.isFull) return KeyAction.REFUSE_FULL;
  return question.takesWork ? KeyAction.ADMIT : KeyAction.PROMISE_NEVER;
}

/**
 * Decides what to say of a key that is asked for.
 *
 * @example
 * decideAsk({known: undefined, promiseNever: false}); // SAY_UNSEEN
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
  const answered =
    known.phase === KeyPhase.DONE || known.phase === KeyPhase.RUNNING;
  return answered ? KeyAction.RETURN_FIRST_OUTCOME : KeyAction.REPORT_PHASE;
}
