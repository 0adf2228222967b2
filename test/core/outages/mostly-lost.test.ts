/** Data centres that have lost most of their targets. */
import {describe, expect, it} from 'vitest';

import {mostlyLost} from '../../../src/core/outages/index.js';

const targets = (dataCentre: string, all: number, lost: number) =>
  Array.from({length: all}, (_, i) => ({
    record: {dataCentre},
    isLost: i < lost,
  }));

describe('mostlyLost', () => {
  it.each([
    {name: 'most of a', lost: 19, all: 20, expected: ['a']},
    {name: 'half of a', lost: 10, all: 20, expected: []},
    {name: 'two of three', lost: 2, all: 3, expected: []},
    {name: 'none', lost: 0, all: 20, expected: []},
  ])('finds $expected if $name are lost', ({lost, all, expected}) => {
    const found = mostlyLost({
      targets: [...targets('a', all, lost), ...targets('b', 20, 1)],
      isLost: (target) => target.isLost,
    });
    expect([...found]).toEqual(expected);
  });
});
