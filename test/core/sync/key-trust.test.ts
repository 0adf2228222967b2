import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {KeyTrust} from '../../../src/core/sync/index.js';

const SEED = 20261204;
const BOUND_MS = 5_000;

/** A clock whose monotonic time does not advance during a suspension. */
class SuspendableClock extends ManualClock {
  private suspendedMs = 0;

  override wallNow(): number {
    return this.now() + this.suspendedMs;
  }

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }
}

/** A step of the simulated machine. */
type Step =
  | {readonly kind: 'run'; readonly ms: number}
  | {readonly kind: 'suspend'; readonly ms: number}
  /** Calls the store; a suspension may happen before the response. */
  | {readonly kind: 'call'}
  | {readonly kind: 'response'}
  /** Checks whether cached keys are trusted. */
  | {readonly kind: 'check'};

const stepArb: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('run' as const),
    ms: fc.integer({min: 1, max: 3_000}),
  }),
  fc.record({
    kind: fc.constant('suspend' as const),
    ms: fc.integer({min: 200, max: 8_000}),
  }),
  fc.record({kind: fc.constantFrom('call', 'response', 'check')}),
);

describe('KeyTrust', () => {
  it('never trusts a configuration that is older than the bound', () => {
    fc.assert(
      fc.property(fc.array(stepArb, {maxLength: 40}), (steps) => {
        const clock = new SuspendableClock();
        const trust = new KeyTrust({clock, boundMs: BOUND_MS});
        let pendingCall: {startedMs: number; realMs: number} | undefined;
        let confirmedMs = Number.NEGATIVE_INFINITY;
        for (const step of steps) {
          if (step.kind === 'run') clock.advance(step.ms);
          if (step.kind === 'suspend') clock.suspend(step.ms);
          if (step.kind === 'call') {
            pendingCall = {startedMs: clock.now(), realMs: clock.wallNow()};
          }
          if (step.kind === 'response' && pendingCall !== undefined) {
            const {startedMs, realMs} = pendingCall;
            trust.confirm({atMs: startedMs, startedMs});
            confirmedMs = Math.max(confirmedMs, realMs);
            pendingCall = undefined;
          }
          const ageMs = clock.wallNow() - confirmedMs;
          const isChecked = step.kind === 'check' || step.kind === 'response';
          if (isChecked && trust.isTrusted()) {
            expect(ageMs).toBeLessThanOrEqual(BOUND_MS);
          }
        }
      }),
      {seed: SEED, numRuns: 5_000},
    );
  });

  it('ignores the response to a call from before a suspension', () => {
    const clock = new SuspendableClock();
    let distrustedCount = 0;
    const onDistrusted = () => distrustedCount++;
    const trust = new KeyTrust({clock, boundMs: BOUND_MS, onDistrusted});
    const startedMs = clock.now();
    clock.suspend(8_000);
    expect(trust.isTrusted()).toBe(false);
    expect(trust.isTrusted()).toBe(false);
    expect(distrustedCount).toBe(1);
    trust.confirm({atMs: startedMs + 500, startedMs});
    expect(trust.isTrusted()).toBe(false);
    clock.advance(10);
    trust.confirm({atMs: clock.now(), startedMs: clock.now()});
    expect(trust.isTrusted()).toBe(true);
  });

  it.each([
    {
      name: 'before any confirmation',
      confirmed: false,
      afterMs: 0,
      expected: false,
    },
    {
      name: 'just after a confirmation',
      confirmed: true,
      afterMs: 0,
      expected: true,
    },
    {name: 'within the bound', confirmed: true, afterMs: 4_500, expected: true},
    {name: 'at the bound', confirmed: true, afterMs: 5_000, expected: false},
  ])('isTrusted returns $expected $name', ({confirmed, afterMs, expected}) => {
    const clock = new ManualClock();
    const trust = new KeyTrust({clock, boundMs: BOUND_MS});
    const nowMs = clock.now();
    if (confirmed) trust.confirm({atMs: nowMs, startedMs: nowMs});
    clock.advance(afterMs);
    expect(trust.isTrusted()).toBe(expected);
  });

  it('always trusts keys if there is no bound on revocation', () => {
    expect(new KeyTrust({clock: new ManualClock()}).isTrusted()).toBe(true);
  });
});
