import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {createSharers} from '../../../src/core/limits/index.js';

const WINDOW_S = 4;
const MAX_FACTOR = 1.5;
const MAX_EXCESS = 5;

const vmsOf = (count: number) =>
  Array.from({length: count}, (_, i) => `edge-${i}`);

describe('createSharers', () => {
  it('stays within the rule if each entry with a share sends a burst of one', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 200}),
        fc.double({min: 0.25, max: 50, noNaN: true}),
        fc.string(),
        (count, perSecond, target) => {
          const entries = vmsOf(count);
          const shares = entries.map((vm) =>
            createSharers({vm, entries, target, perSecond}).shareOf(vm),
          );
          const isProber = (share: number) => share < Math.max(...shares) / 2;
          const sent = shares.map(
            (share) => share * perSecond * WINDOW_S + (isProber(share) ? 0 : 1),
          );
          const sum = sent.reduce((total, n) => total + n, 0);
          const allowed = MAX_FACTOR * perSecond * WINDOW_S + MAX_EXCESS;
          expect(sum).toBeLessThanOrEqual(allowed);
        },
      ),
    );
  });

  it.each([
    {count: 4, perSecond: 2.6, share: 1 / 4},
    {count: 6, perSecond: 2.6, share: 1 / 6},
    {count: 3, perSecond: 0, share: 1 / 3},
  ])('divides evenly between $count entries', ({count, perSecond, share}) => {
    const entries = vmsOf(count);
    const sharers = createSharers({
      vm: 'edge-0',
      entries,
      target: 'i-1@1',
      perSecond,
    });
    for (const vm of entries) expect(sharers.shareOf(vm)).toBe(share);
  });

  it('counts an entry that the others do not list yet', () => {
    const sharers = createSharers({
      vm: 'edge-9',
      entries: ['edge-1'],
      target: 'i-1@1',
      perSecond: 3,
    });
    expect(sharers.shareOf('edge-9')).toBe(0.5);
  });

  it('gives an entry that knows of no others a small share', () => {
    const sharers = createSharers({
      vm: 'edge-1',
      target: 'i-1@1',
      perSecond: 3,
    });
    expect(sharers.shareOf('edge-1')).toBeLessThan(0.1);
  });
});
