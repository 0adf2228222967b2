import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {KeyTrust} from '../../../src/core/sync/index.js';

const SEED = 20261204;
const BOUND_MS = 5_000;

/** A machine whose monotonic clock stands still while it is suspended. */
class SuspendableClock extends ManualClock {
  private wallMs = 0;

  override wallNow(): number {
    return this.now() + this.wallMs;
  }

  suspend(ms: number): void {
    this.wallMs += ms;
  }
}

/** Something that happens to the machine. */
type Step =
  | {readonly kind: 'run'; readonly ms: number}
  | {readonly kind: 'suspend'; readonly ms: number}
  | {readonly kind: 'confirm'; readonly ageMs: number};

const stepArb: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('run' as const),
    ms: fc.integer({min: 1, max: 3_000}),
  }),
  fc.record({
    kind: fc.constant('suspend' as const),
    ms: fc.integer({min: 200, max: 8_000}),
  }),
  fc.record({
    kind: fc.constant('confirm' as const),
    ageMs: fc.integer({min: 0, max: 2_000}),
  }),
);

describe('KeyTrust', () => {
  it('never relies on a configuration that is older than the bound', () => {
    fc.assert(
      fc.property(fc.array(stepArb, {maxLength: 40}), (steps) => {
        const clock = new SuspendableClock();
        const trust = new KeyTrust({clock, boundMs: BOUND_MS});
        // Real time of the newest true confirmation.
        let confirmedMs = Number.NEGATIVE_INFINITY;
        let runningSinceMs = 0;
        for (const step of steps) {
          if (step.kind === 'run') clock.advance(step.ms);
          if (step.kind === 'suspend') {
            clock.suspend(step.ms);
            runningSinceMs = clock.wallNow();
          }
          if (step.kind === 'confirm') {
            // A call whose answer came over a suspension began before it.
            const realMs = clock.wallNow() - step.ageMs;
            if (realMs >= runningSinceMs) {
              trust.confirm(clock.now() - step.ageMs);
              confirmedMs = Math.max(confirmedMs, realMs);
            }
          }
          const ageMs = clock.wallNow() - confirmedMs;
          if (trust.isSound()) expect(ageMs).toBeLessThanOrEqual(BOUND_MS);
        }
      }),
      {seed: SEED, numRuns: 2_000},
    );
  });

  it.each([
    {name: 'before any confirmation', confirmed: false, afterMs: 0, is: false},
    {name: 'just confirmed', confirmed: true, afterMs: 0, is: true},
    {name: 'within the bound', confirmed: true, afterMs: 4_500, is: true},
    {name: 'at the bound', confirmed: true, afterMs: 5_000, is: false},
  ])('$name: $is', ({confirmed, afterMs, is}) => {
    const clock = new ManualClock();
    const trust = new KeyTrust({clock, boundMs: BOUND_MS});
    if (confirmed) trust.confirm(clock.now());
    clock.advance(afterMs);
    expect(trust.isSound()).toBe(is);
  });

  it('always relies on keys that are never taken away at once', () => {
    expect(new KeyTrust({clock: new ManualClock()}).isSound()).toBe(true);
  });
});
