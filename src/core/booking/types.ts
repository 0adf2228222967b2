import type {GetType} from 'purify-ts';
import {Codec, enumeration, number, string} from 'purify-ts';

import type {PlainResponse} from '../edges/index.js';
import type {Evidence} from './decide-ran.js';

/** What a claim allows. */
export enum ClaimState {
  /** Entries may send the booking to the incarnation that is named. */
  HELD = 'held',
  /** Final: the key never ran and never will. */
  VOIDED = 'voided',
}

/** A claim: to which agent incarnation a booking may be sent. */
export const CLAIM = Codec.interface({
  /** Identifies one write, so that a lost answer is settled by reading. */
  nonce: string,
  state: enumeration(ClaimState),
  fingerprint: string,
  agentVm: string,
  agentIncarnation: string,
  /** The entry that wrote the claim last. */
  entryIncarnation: string,
  /** When the key was first claimed, in milliseconds since the epoch. */
  claimedAtMs: number,
});

/** The value of a claim object. */
export type Claim = GetType<typeof CLAIM>;

/** A claim as the store holds it. */
export interface StoredClaim {
  readonly claim: Claim;
  /** Version of the object; a change is conditional on it. */
  readonly version: number;
}

/** An agent beside a target. */
export interface AgentId {
  readonly vm: string;
  readonly incarnation: string;
}

/** What became of a write of a claim. */
export enum WriteOutcome {
  /** Written, or found to be written before. */
  WRITTEN = 'written',
  /** Another claim stands; nothing was written. */
  CONFLICT = 'met',
  /** The store certainly wrote nothing. */
  NO_EFFECT = 'no_effect',
  /** The store may have written, or may still write. */
  IN_DOUBT = 'in_doubt',
}

/** Answer to CREATE and SWAP; `stored` is set for WRITTEN and MET. */
export interface WriteResult {
  readonly outcome: WriteOutcome;
  readonly stored?: StoredClaim;
}

/** What an agent says of a key, or that it says nothing. */
export enum AgentResultKind {
  /** The first outcome; `response` is set. */
  RESPONSE = 'response',
  /** It has not seen the key. */
  UNSEEN = 'unseen',
  /** It has not admitted the key and never will. */
  PROMISED_NEVER = 'promised_never',
  /** Sent to the target, which gave no whole answer. */
  UNCERTAIN = 'uncertain',
  /** It did not admit this message, and promises nothing. */
  NOT_ADMITTED = 'not_admitted',
  /** The key came with another body before. */
  OTHER_BODY = 'other_body',
  /** The message certainly did not leave this entry. */
  NOT_SENT = 'not_sent',
  /** The connection was lost after the message was sent. */
  LOST = 'lost',
  /** No answer in time; the message may still arrive. */
  TIMEOUT = 'timeout',
  /** Another incarnation runs in its place. */
  GONE = 'gone',
}

/** Answer to CALL and ASK. */
export interface AgentResult {
  readonly kind: AgentResultKind;
  readonly response?: PlainResponse;
}

/** Kinds of what a booking asks of the outside. */
export enum EffectKind {
  CREATE = 'create',
  SWAP = 'swap',
  QUERY = 'ask',
  CALL = 'call',
  LOOK_UP = 'look_up',
  FINISH = 'finish',
}

/** Create the claim where there is none. */
export interface CreateEffect {
  readonly kind: EffectKind.CREATE;
  readonly claim: Claim;
  /** Whether a write of the same claim is in doubt. */
  readonly isRetry: boolean;
}

/** Replace the claim if it is still the expected one. */
export interface SwapEffect {
  readonly kind: EffectKind.SWAP;
  readonly expected: StoredClaim;
  readonly claim: Claim;
  readonly isRetry: boolean;
}

/** Ask the agent what became of the key, and wait while it runs. */
export interface QueryEffect {
  readonly kind: EffectKind.QUERY;
  readonly agent: AgentId;
  /** Whether an earlier question found no agent. */
  readonly isRetry: boolean;
}

/** Send the booking. */
export interface CallEffect {
  readonly kind: EffectKind.CALL;
  readonly agent: AgentId;
  readonly claimedAtMs: number;
}

/** Look for the outcome that the agent recorded in the platform. */
export interface LookUpEffect {
  readonly kind: EffectKind.LOOK_UP;
  readonly claim: Claim;
}

/** Answer the caller: with the outcome, or with what the evidence says. */
export interface FinishEffect {
  readonly kind: EffectKind.FINISH;
  readonly response?: PlainResponse;
  readonly evidence?: Evidence;
}

/** What a booking asks of the outside; one at a time. */
export type BookingEffect =
  | CreateEffect
  | SwapEffect
  | QueryEffect
  | CallEffect
  | LookUpEffect
  | FinishEffect;

/** Kinds of what a booking hears. */
export enum EventKind {
  BEGIN = 'begin',
  WRITE = 'write',
  AGENT = 'agent',
  LOOK_UP = 'look_up',
  /** The caller must be answered now, whatever is still under way. */
  ABORT = 'give_up',
}

/** What a booking hears, as the answer to its last effect. */
export type BookingEvent =
  | {readonly kind: EventKind.BEGIN}
  | {readonly kind: EventKind.ABORT}
  | {readonly kind: EventKind.WRITE; readonly result: WriteResult}
  | {readonly kind: EventKind.AGENT; readonly result: AgentResult}
  | {
      readonly kind: EventKind.LOOK_UP;
      /** Undefined where no outcome is recorded or the store fails. */
      readonly response?: PlainResponse;
    };

/** What holds at the moment of a step; read anew for each. */
export interface StepContext {
  /** A fresh identity for a write. */
  readonly nonce: string;
  /** The target that new work would go to, if any. */
  readonly target?: AgentId;
  /** The deadline has passed, or this process was paused. */
  readonly late: boolean;
  readonly wallMs: number;
}
