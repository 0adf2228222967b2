import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {DrainRate} from '../../../src/core/admission/drain-rate.js';

const SEED = 20261204;

describe('DrainRate', () => {
  it('converges to the interval of an even drain after any history', () => {
    const gapsArb = fc.array(fc.integer({min: 0, max: 20_000}), {
      maxLength: 20,
    });
    fc.assert(
      fc.property(gapsArb, fc.integer({min: 1, max: 100}), (gaps, evenMs) => {
        const rate = new DrainRate();
        let nowMs = 0;
        const recordDeparture = (gapMs: number): void => {
          rate.recordWaiting(nowMs);
          nowMs += gapMs;
          rate.recordDeparture({nowMs, stillWaiting: true});
        };
        gaps.forEach(recordDeparture);
        for (let ms = 0; ms < 20_000; ms += evenMs) recordDeparture(evenMs);
        expect(rate.intervalMs(nowMs)).toBeCloseTo(evenMs, 1);
      }),
      {seed: SEED, numRuns: 200},
    );
  });

  it.each([
    {name: 'no request has departed', departures: 0, laterMs: 0, expected: 0},
    {name: 'one request has departed', departures: 1, laterMs: 0, expected: 50},
    {
      name: 'the queue was empty for a long time',
      departures: 1,
      laterMs: 5_000,
      expected: 0,
    },
  ])('returns $expected if $name', ({departures, laterMs, expected}) => {
    const rate = new DrainRate();
    rate.recordWaiting(0);
    for (let i = 1; i <= departures; i++) {
      rate.recordDeparture({nowMs: 50 * i, stillWaiting: i < departures});
    }
    expect(rate.intervalMs(50 * departures + laterMs)).toBe(expected);
  });

  it('does not count requests that did not wait', () => {
    const rate = new DrainRate();
    rate.recordDeparture({nowMs: 10, stillWaiting: false});
    expect(rate.intervalMs(10)).toBe(0);
  });
});
