/** Claims, effects and events of a booking. */
import type {GetType} from 'purify-ts';
import {Codec, enumeration, number, string} from 'purify-ts';

import type {PlainResponse} from '../edges/index.js';
import type {Evidence} from './decide-verdict.js';

/** State of a claim. */
export enum ClaimState {
  /** Entries may send the booking to the agent incarnation in the claim. */
  HELD = 'held',
  /** Final: the key never ran and never will. */
  VOIDED = 'voided',
}

/** Codec of a claim: the agent incarnation a booking may be sent to. */
export const CLAIM = Codec.interface({
  /**
   * Identifies one write. If the response to the write is lost, reading the
   * claim shows whether the write took effect.
   */
  nonce: string,
  state: enumeration(ClaimState),
  /** Fingerprint of the request; another one with the same key is refused. */
  fingerprint: string,
  /** Empty, like `agentIncarnation`, if the claim was created void. */
  agentVm: string,
  agentIncarnation: string,
  /** Incarnation of the entry that last wrote the claim. */
  entryIncarnation: string,
  /** When the key was first claimed, in milliseconds since the epoch. */
  claimedAtMs: number,
});

/** The value of a claim object. */
export type Claim = GetType<typeof CLAIM>;

/** A claim with its version in the store. */
export interface StoredClaim {
  readonly claim: Claim;
  /** Version of the claim; updates are conditional on it. */
  readonly version: number;
}

/** Identifies one incarnation of an agent. */
export interface AgentId {
  readonly vm: string;
  readonly incarnation: string;
}

/** Outcome of a claim write. */
export enum WriteOutcome {
  /** Written by this call or by an earlier attempt of the same write. */
  WRITTEN = 'written',
  /** Another claim exists; nothing was written. */
  CONFLICT = 'met',
  /** It is certain that the store wrote nothing. */
  NO_EFFECT = 'no_effect',
  /** The write may have taken effect, or may still take effect. */
  IN_DOUBT = 'in_doubt',
}

/** Result of CREATE and SWAP; `stored` is set for WRITTEN and CONFLICT. */
export interface WriteResult {
  readonly outcome: WriteOutcome;
  readonly stored?: StoredClaim;
}

/** What an agent reported about a key, or why no report was received. */
export enum AgentResultKind {
  /** The outcome of the first execution; `response` is set. */
  RESPONSE = 'response',
  /** The agent has not seen the key. */
  UNSEEN = 'unseen',
  /** The agent has not admitted the key and never will. */
  PROMISED_NEVER = 'promised_never',
  /** Sent to the target, which returned no complete response. */
  UNCERTAIN = 'uncertain',
  /** The agent did not admit this message, but may admit a later one. */
  NOT_ADMITTED = 'not_admitted',
  /** The key was used with another body before. */
  OTHER_BODY = 'other_body',
  /** It is certain that the message did not leave this entry. */
  NOT_SENT = 'not_sent',
  /** The connection was lost after the message was sent. */
  LOST = 'lost',
  /** No response in time; the message may still arrive. */
  TIMEOUT = 'timeout',
  /** The agent incarnation no longer runs. */
  GONE = 'gone',
}

/** Result of CALL and QUERY. */
export interface AgentResult {
  readonly kind: AgentResultKind;
  /** Set for RESPONSE. */
  readonly response?: PlainResponse;
}

/** Kinds of effects. */
export enum EffectKind {
  CREATE = 'create',
  SWAP = 'swap',
  QUERY = 'ask',
  CALL = 'call',
  LOOK_UP = 'look_up',
  FINISH = 'finish',
}

/** Creates the claim if there is none. */
export interface CreateEffect {
  readonly kind: EffectKind.CREATE;
  readonly claim: Claim;
  /** Whether an earlier write of the same claim is in doubt. */
  readonly isRetry: boolean;
}

/** Replaces the claim if it is still the expected one. */
export interface SwapEffect {
  readonly kind: EffectKind.SWAP;
  readonly expected: StoredClaim;
  readonly claim: Claim;
  /** Whether an earlier write of the same claim is in doubt. */
  readonly isRetry: boolean;
}

/** Queries the agent for the state of the key; waits while the key runs. */
export interface QueryEffect {
  readonly kind: EffectKind.QUERY;
  readonly agent: AgentId;
  /** Whether an earlier call or query returned no usable result. */
  readonly isRetry: boolean;
}

/** Sends the booking to the agent. */
export interface CallEffect {
  readonly kind: EffectKind.CALL;
  readonly agent: AgentId;
  /** Time of the claim; the agent derives the name of the outcome from it. */
  readonly claimedAtMs: number;
}

/** Reads the outcome that the agent recorded in the platform. */
export interface LookUpEffect {
  readonly kind: EffectKind.LOOK_UP;
  readonly claim: Claim;
}

/**
 * Responds to the caller with the outcome in `response`, or with a refusal that
 * follows from `evidence`. One of the two is set.
 */
export interface FinishEffect {
  readonly kind: EffectKind.FINISH;
  readonly response?: PlainResponse;
  readonly evidence?: Evidence;
}

/** An external action of a booking; at most one is in progress. */
export type BookingEffect =
  | CreateEffect
  | SwapEffect
  | QueryEffect
  | CallEffect
  | LookUpEffect
  | FinishEffect;

/** Kinds of events. */
export enum EventKind {
  BEGIN = 'begin',
  WRITE = 'write',
  AGENT = 'agent',
  LOOK_UP = 'look_up',
  /** The caller must get a response now, whatever is still in progress. */
  ABORT = 'give_up',
}

/** An event of a booking: BEGIN, ABORT or the result of the last effect. */
export type BookingEvent =
  | {readonly kind: EventKind.BEGIN}
  | {readonly kind: EventKind.ABORT}
  | {readonly kind: EventKind.WRITE; readonly result: WriteResult}
  | {readonly kind: EventKind.AGENT; readonly result: AgentResult}
  | {
      readonly kind: EventKind.LOOK_UP;
      /** Undefined if no outcome is recorded or the store fails. */
      readonly response?: PlainResponse;
    };

/** Conditions at the time of a step; read again for each step. */
export interface StepContext {
  /** A unique id for the next write. */
  readonly nonce: string;
  /** The agent of the target that new work would go to, if any. */
  readonly target?: AgentId;
  /** Whether the deadline has passed; the process may have been paused. */
  readonly isPastDeadline: boolean;
  /** Wall-clock time, in milliseconds since the epoch. */
  readonly wallMs: number;
}
