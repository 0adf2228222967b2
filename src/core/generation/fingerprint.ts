/** Fingerprints of request contents. */
import {createHash} from 'node:crypto';

/** Number of hexadecimal digits of a fingerprint. */
export const FINGERPRINT_CHARS = 32;

/**
 * Returns a hash of the content of a request, for one client account. The
 * length of each part is hashed too, so that the parts 'ab', 'c' and 'a', 'bc'
 * have different fingerprints.
 *
 * @example
 * fingerprintOf({clientAccount: 'demo', parts: ['POST', '/orders', body]});
 */
export function fingerprintOf(options: {
  clientAccount: string;
  parts: ReadonlyArray<string | Uint8Array>;
}): string {
  const {clientAccount, parts} = options;
  const hash = createHash('sha256');
  // Texts are joined, as each update costs much beside a short request.
  let text = `${clientAccount.length}:${clientAccount}`;
  for (const part of parts) {
    text += `${part.length}:`;
    if (typeof part === 'string') {
      text += part;
      continue;
    }
    hash.update(text);
    hash.update(part);
    text = '';
  }
  hash.update(text);
  return hash.digest('hex').slice(0, FINGERPRINT_CHARS);
}
