/** Incarnations whose address a later one has registered. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {NewestStarts} from '../../../src/core/outages/index.js';

const target = (address: string, startedAtMs?: number) => ({
  service: 'drafts',
  address,
  startedAtMs,
});

describe('NewestStarts', () => {
  const registered = [target('a:1', 10), target('a:1', 90), target('a:2', 10)];

  it.each([
    {name: 'an earlier one at its address', of: target('a:1', 10), is: true},
    {name: 'the latest at its address', of: target('a:1', 90), is: false},
    {name: 'the only one at its address', of: target('a:2', 10), is: false},
    {name: 'one that tells no start', of: target('a:1'), is: false},
    {name: 'one that is not registered', of: target('a:9', 10), is: false},
  ])('tells for $name: replaced $is', ({of, is}) => {
    const starts = new NewestStarts({clock: new ManualClock()});
    expect(starts.isReplaced(of, () => registered)).toBe(is);
  });

  it('reads the registrations again after a while, not each time', () => {
    const clock = new ManualClock();
    const starts = new NewestStarts({clock});
    let reads = 0;
    const read = () => {
      reads++;
      return reads > 1 ? registered : [];
    };
    const first = target('a:1', 10);
    for (let i = 0; i < 10; i++)
      expect(starts.isReplaced(first, read)).toBe(false);
    clock.advance(1_000);
    expect(starts.isReplaced(first, read)).toBe(true);
    expect(reads).toBe(2);
  });
});
