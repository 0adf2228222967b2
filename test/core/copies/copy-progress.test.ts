/** When a lost generation may resume from a copy of its KV cache. */
import {describe, expect, it} from 'vitest';

import {mayHaveCopy} from '../../../src/core/copies/index.js';

describe('mayHaveCopy', () => {
  it.each([
    {hasHolder: true, events: 0, ageMs: 100, expected: false},
    {hasHolder: true, events: 0, ageMs: 400, expected: true},
    {hasHolder: true, events: 1, ageMs: 100, expected: false},
    {hasHolder: true, events: 1, ageMs: 2_000, expected: true},
    {hasHolder: true, events: 2, ageMs: 100, expected: true},
    {hasHolder: false, events: 40, ageMs: 4_000, expected: false},
  ])(
    'is $expected after $events events and $ageMs ms, holder: $hasHolder',
    ({expected, ...progress}) => {
      expect(mayHaveCopy(progress)).toBe(expected);
    },
  );
});
