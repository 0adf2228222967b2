import {createHash} from 'node:crypto';

/**
 * The object name of the claim on an idempotency key.
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
