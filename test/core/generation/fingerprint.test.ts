import {createHash} from 'node:crypto';

import fc from 'fast-check';
import {expect, test} from 'vitest';

import {fingerprintOf} from '../../../src/core/generation/fingerprint.js';

/** Entries of different releases compare their fingerprints. */
test('a fingerprint is that of each part after its length', () => {
  const part = fc.oneof(fc.string(), fc.uint8Array());
  fc.assert(
    fc.property(fc.string(), fc.array(part), (clientAccount, parts) => {
      const bytes = [clientAccount, ...parts].flatMap((part) => [
        Buffer.from(`${part.length}:`),
        Buffer.from(part as string),
      ]);
      const hash = createHash('sha256').update(Buffer.concat(bytes));
      expect(fingerprintOf({clientAccount, parts})).toBe(
        hash.digest('hex').slice(0, 32),
      );
    }),
  );
});
