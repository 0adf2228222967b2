/** Fingerprints of request contents. */
import {createHash} from 'node:crypto';

/** Number of hexadecimal digits of a fingerprint. */
const FINGERPRINT_CHARS = 32;

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
  const hash = createHash('sha256');
  for (const part of [options.clientAccount, ...options.parts]) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest('hex').slice(0, FINGERPRINT_CHARS);
}
