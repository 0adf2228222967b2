/** The bound on what a version gets that is not trusted, over all entries. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ExposureBudget, slackShare} from '../../../src/core/rollouts/index.js';

const SHARE = 0.1;

/** What happens at one entry. */
const EVENT = fc.record({
  entry: fc.nat(7),
  kind: fc.constantFrom('request', 'request', 'request', 'restart', 'step'),
});

describe('the exposure to a version', () => {
  it('stays within the share over entries that come, go and return', () => {
    fc.assert(
      fc.property(fc.array(EVENT, {maxLength: 2_000}), (events) => {
        const budgets = new Map<number, ExposureBudget>();
        let reached = 0;
        let sent = 0;
        for (const {entry, kind} of events) {
          const known = budgets.get(entry);
          const budget = known ?? new ExposureBudget({share: SHARE});
          budgets.set(entry, budget);
          if (kind === 'restart') budgets.delete(entry);
          else if (kind === 'step') budget.beginStep();
          else {
            if (budget.maySend()) {
              budget.recordSentToNew();
              sent++;
            }
            budget.recordReached();
            reached++;
          }
        }
        expect(sent).toBeLessThanOrEqual(SHARE * reached);
      }),
      {numRuns: 300},
    );
  });

  it('has a slack that is divided among any number of entries', () => {
    for (const count of [1, 3, 26, 50, 100, 400]) {
      const entries = Array.from({length: count}, (_, i) => `edge-${i}`);
      const shares = entries.map((vm) =>
        slackShare({slack: 50, vm, entries, order: 'o1'}),
      );
      const sum = shares.reduce((a, b) => a + b, 0);
      expect(sum).toBeLessThanOrEqual(50);
      expect(sum).toBeGreaterThan(20);
    }
    expect(slackShare({slack: 50, vm: 'a', order: 'o1'})).toBe(0);
  });

  it('lets little traffic reach the version early', () => {
    const budget = new ExposureBudget({share: SHARE});
    budget.setSlack(1);
    expect(budget.maySend() && budget.isBelow(SHARE)).toBe(true);
    budget.recordSentToNew();
    expect(budget.maySend()).toBe(false);
  });

  it('uses most of the share', () => {
    const budget = new ExposureBudget({share: SHARE});
    for (let i = 0; i < 1_000; i++) {
      if (budget.maySend()) budget.recordSentToNew();
      budget.recordReached();
    }
    expect(budget.sent).toBeGreaterThan(90);
  });
});
