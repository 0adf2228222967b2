/** A compact set of the parts of one prompt. */

/** Bits for each part; with them, 1 of 1,000 other parts seems to be in it. */
const BITS_PER_PART = 16;

/** Bits that are set for each part. */
const PROBES = 6;

/** Largest digest in bytes, whatever the number of parts. */
const MAX_BYTES = 4_096;

const BITS_PER_BYTE = 8;

/** Offset basis and prime of FNV-1a with 32 bits. */
const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Factors of the finalizer of MurmurHash3, which mixes the bits of a hash. */
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

/** Makes the second of the two hashes differ from the first. */
const SECOND_SEED = 0x9e3779b9;

const ENCODING = 'base64';

/** Length of the largest digest when it is encoded. */
const MAX_ENCODED_LENGTH = 4 * Math.ceil(MAX_BYTES / 3);

/**
 * A Bloom filter of the keys of prompt parts. It finds each of its parts, and a
 * few others by mistake. Its size is bounded, so that a lost target costs no
 * more for a long prompt than for a short one.
 *
 * @example
 * const digest = PromptDigest.of(['part-5c1e', 'part-91bd']);
 * digest.has('part-5c1e'); // true
 */
export class PromptDigest {
  private constructor(private readonly bytes: Uint8Array) {}

  static of(keys: readonly string[]): PromptDigest {
    const bits = keys.length * BITS_PER_PART;
    const size = Math.min(MAX_BYTES, Math.ceil(bits / BITS_PER_BYTE));
    const digest = new PromptDigest(new Uint8Array(Math.max(1, size)));
    for (const key of keys) digest.add(key);
    return digest;
  }

  /** Decodes what `encode` returned; undefined if it cannot be that. */
  static decode(text: string): PromptDigest | undefined {
    if (text.length > MAX_ENCODED_LENGTH) return undefined;
    const bytes = Buffer.from(text, ENCODING);
    const isValid = bytes.length > 0 && bytes.length <= MAX_BYTES;
    return isValid ? new PromptDigest(bytes) : undefined;
  }

  encode(): string {
    return Buffer.from(this.bytes).toString(ENCODING);
  }

  has(key: string): boolean {
    const {bytes} = this;
    const bits = bytes.length * BITS_PER_BYTE;
    const first = hashOf(key, 0);
    const second = hashOf(key, SECOND_SEED);
    for (let i = 0; i < PROBES; i++) {
      const bit = (first + i * second) % bits;
      if ((bytes[bit >> 3]! & (1 << (bit & 7))) === 0) return false;
    }
    return true;
  }

  private add(key: string): void {
    const {bytes} = this;
    const bits = bytes.length * BITS_PER_BYTE;
    const first = hashOf(key, 0);
    const second = hashOf(key, SECOND_SEED);
    for (let i = 0; i < PROBES; i++) {
      const bit = (first + i * second) % bits;
      bytes[bit >> 3]! |= 1 << (bit & 7);
    }
  }
}

/** FNV-1a, with its bits mixed once more at the end, as in MurmurHash3. */
function hashOf(text: string, seed: number): number {
  let hash = FNV_BASIS ^ seed;
  for (let i = 0; i < text.length; i++)
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}
