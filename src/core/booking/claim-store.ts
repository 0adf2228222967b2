import type {Claim, StoredClaim, WriteResult} from './types.js';

/**
 * Claims by name. A name holds at most one claim; each change is conditional
 * on the claim that it replaces, whichever entry makes it.
 */
export interface ClaimStore {
  /** Writes a claim where there is none. */
  create(options: {name: string; claim: Claim}): Promise<WriteResult>;
  /** Replaces a claim that still is the expected one. */
  swap(options: {
    name: string;
    expected: StoredClaim;
    claim: Claim;
  }): Promise<WriteResult>;
}
