import {describe, expect, it} from 'vitest';

import {showsHarmlessParts} from '../../../src/core/poison/index.js';

const ROWS = [
  {name: 'many events over a second', writingMs: 1_000, events: 10, is: true},
  {name: 'many events at once', writingMs: 300, events: 40, is: false},
  {
    name: 'two events, the second read after a pause of this process',
    writingMs: 3_000,
    events: 2,
    is: false,
  },
  {name: 'nothing', writingMs: 0, events: 0, is: false},
];

describe('showsHarmlessParts', () => {
  it.each(ROWS)('is $is after $name', ({writingMs, events, is}) => {
    expect(showsHarmlessParts({writingMs, events})).toBe(is);
  });
});
