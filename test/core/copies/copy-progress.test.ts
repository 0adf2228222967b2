/** When a lost generation may resume from a copy of its KV cache. */
import {describe, expect, it} from 'vitest';

import {mayHaveCopy} from '../../../src/core/copies/index.js';

describe('mayHaveCopy', () => {
  it.each([
    {hasHolder: true, events: 0, writingMs: 0, expected: false},
    {hasHolder: true, events: 1, writingMs: 100, expected: false},
    {hasHolder: true, events: 1, writingMs: 399, expected: false},
    {hasHolder: true, events: 1, writingMs: 400, expected: true},
    {hasHolder: true, events: 2, writingMs: 100, expected: true},
    {hasHolder: false, events: 40, writingMs: 4_000, expected: false},
  ])(
    'is $expected after $events events and $writingMs ms, holder: $hasHolder',
    ({expected, ...progress}) => {
      expect(mayHaveCopy(progress)).toBe(expected);
    },
  );
});
