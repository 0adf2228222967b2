/** Interface of claim stores. */
import type {Claim, StoredClaim, WriteResult} from './types.js';

/**
 * Stores claims by name. A name has at most one claim. Each change, from
 * whichever entry, is conditional on the claim that it replaces.
 */
export interface ClaimStore {
  /** Creates a claim if the name has none. */
  create(options: {name: string; claim: Claim}): Promise<WriteResult>;
  /** Replaces a claim if it is still the expected one. */
  swap(options: {
    name: string;
    expected: StoredClaim;
    claim: Claim;
  }): Promise<WriteResult>;
}
