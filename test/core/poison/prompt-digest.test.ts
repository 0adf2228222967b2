/** Compact sets of prompt parts. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {PromptDigest} from '../../../src/core/poison/prompt-digest.js';

const SEED = 20261208;

/** Largest digest as it is stored, in characters. */
const MAX_CHARS = 5_500;

const keysOf = (count: number, prefix: string) =>
  Array.from({length: count}, (_, i) => `part-${prefix}${i.toString(16)}`);

describe('a digest of a prompt', () => {
  it('has each of its parts, also when it was decoded', () => {
    fc.assert(
      fc.property(fc.array(fc.string(), {maxLength: 200}), (keys) => {
        const text = PromptDigest.of(keys).encode();
        const decoded = PromptDigest.decode(text)!;
        return keys.every((key) => decoded.has(key));
      }),
      {seed: SEED},
    );
  });

  it.each([
    {count: 17, maxShare: 0.01},
    {count: 200, maxShare: 0.01},
    {count: 1_500, maxShare: 0.01},
    {count: 8_000, maxShare: 0.4},
  ])('of $count parts has few others', ({count, maxShare}) => {
    const digest = PromptDigest.of(keysOf(count, 'a'));
    const others = keysOf(20_000, 'b');
    const wrong = others.filter((key) => digest.has(key)).length;
    expect(wrong / others.length).toBeLessThan(maxShare);
    expect(digest.encode().length).toBeLessThan(MAX_CHARS);
  });

  it.each([{text: ''}, {text: 'A'.repeat(100_000)}])(
    'is not decoded from $text.length characters',
    ({text}) => {
      expect(PromptDigest.decode(text)).toBeUndefined();
    },
  );
});
