import type {GetType} from 'purify-ts';
import {Codec, string} from 'purify-ts';

/** A claim: who may send a booking, and to which agent incarnation. */
export const CLAIM = Codec.interface({
  /** Identifies one write, so that a lost answer is settled by reading. */
  nonce: string,
  fingerprint: string,
  agentVm: string,
  agentIncarnation: string,
  /** The entry that may send. */
  entryIncarnation: string,
});

/** The value of a claim object. */
export type Claim = GetType<typeof CLAIM>;
