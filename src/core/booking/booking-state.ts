/** State of one booking at its entry. */
import type {Claim, StoredClaim} from './types.js';

/** What the booking waits for: the purpose of the effect in progress. */
export enum BookingPhase {
  NEW = 'new',
  CLAIMING = 'claiming',
  /** Replaces another request's claim, to send to the agent that it names. */
  TAKING_OVER = 'taking_over',
  /** Replaces the claim, to send to another agent. */
  MOVING = 'moving',
  /** Replaces the claim by a void one. */
  VOIDING = 'voiding',
  /** Queries the agent for the state of the key. */
  QUERYING = 'asking',
  /** Sends the booking to the agent. */
  CALLING = 'calling',
  /** Reads the outcome that the agent recorded in the platform. */
  LOOKING_UP = 'looking_up',
  DONE = 'done',
}

/** One booking at one entry. */
export interface BookingState {
  readonly phase: BookingPhase;
  readonly fingerprint: string;
  readonly entryIncarnation: string;
  /** Whether the caller declares that it has not used the key before. */
  readonly isFirstUse: boolean;
  /** The claim as last read or written. */
  readonly stored?: StoredClaim;
  /** The claim that is being written. */
  readonly pending?: Claim;
  /** Whether no other request can have sent the booking under `stored`. */
  readonly isSoleSender: boolean;
  /** Whether this request has sent the booking under `stored`. */
  readonly isSent: boolean;
  /** Whether a write of this request is in doubt. */
  readonly isWriteInDoubt: boolean;
  /** Whether the agent incarnation in `stored` is gone. */
  readonly isAgentGone: boolean;
  /** Attempts of the current write that ended in doubt. */
  readonly writeAttempts: number;
  /** Times that this request moved the booking to another agent. */
  readonly moves: number;
}
