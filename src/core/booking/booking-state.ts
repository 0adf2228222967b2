/** Where one booking stands at its entry. */
import type {Claim, StoredClaim} from './types.js';

/** What the last effect was for. */
export enum BookingPhase {
  NEW = 'new',
  CLAIMING = 'claiming',
  TAKING_OVER = 'taking_over',
  MOVING = 'moving',
  VOIDING = 'voiding',
  QUERYING = 'asking',
  CALLING = 'calling',
  LOOKING_UP = 'looking_up',
  DONE = 'done',
}

/** One booking at one entry. */
export interface BookingState {
  readonly phase: BookingPhase;
  readonly fingerprint: string;
  readonly entryIncarnation: string;
  /** The caller vouches that it has not used the key before. */
  readonly firstUse: boolean;
  /** The claim as it was last seen. */
  readonly stored?: StoredClaim;
  /** The claim that is being written. */
  readonly pending?: Claim;
  /** Nobody but this request may have sent under `stored`. */
  readonly soleSender: boolean;
  /** This request has sent under `stored`. */
  readonly sent: boolean;
  /** A write of this request is in doubt. */
  readonly writeInDoubt: boolean;
  /** The agent that `stored` names is gone. */
  readonly agentGone: boolean;
  readonly writeAttempts: number;
  readonly moves: number;
}
