/** Object names of claims. */
import {createHash} from 'node:crypto';

/**
 * Returns the object name of the claim for an idempotency key.
 *
 * @example
 * claimNameOf({clientAccount: 'demo', key: 'order-17'});
 */
export function claimNameOf(options: {
  clientAccount: string;
  key: string;
}): string {
  const {clientAccount, key} = options;
  const digest = createHash('sha256').update(key).digest('hex');
  return `${clientAccount}.${digest}`;
}
