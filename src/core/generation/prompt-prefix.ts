/** Fingerprints of prompt prefixes, as engines report the cached ones. */
import xxhash from 'xxhash-wasm';

const HASH = await xxhash();

/** Number of characters of a prompt that its fingerprint covers. */
export const PREFIX_CHARACTERS = 256;

/**
 * Returns the fingerprint under which engines report a prompt's prefix.
 *
 * @example
 * target.cachedPrefixes.includes(prefixFingerprintOf(spec.prompt));
 */
export function prefixFingerprintOf(prompt: string): string {
  return HASH.h64ToString(prompt.slice(0, PREFIX_CHARACTERS));
}
