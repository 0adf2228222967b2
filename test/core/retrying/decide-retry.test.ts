import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ExchangeFailure} from '../../../src/core/edges/direct-target.js';
import type {AttemptResult} from '../../../src/core/retrying/index.js';
import {
  toFailureResponse,
  certainlyDidNotRun,
  countsAsSent,
  decideRetry,
  RetryDecision,
} from '../../../src/core/retrying/index.js';
import {OperationKind} from '../../../src/core/routes/index.js';

const SEED = 20261204;

const resultArb: fc.Arbitrary<AttemptResult> = fc.oneof(
  fc.record({failure: fc.constantFrom(...Object.values(ExchangeFailure))}),
  fc.record({status: fc.constantFrom(200, 204, 404, 408, 429, 500, 502, 503)}),
);

/** Simulates a call whose attempts have the given results. */
function simulateCall(options: {
  operation: OperationKind;
  maxAttempts: number;
  results: readonly AttemptResult[];
}) {
  const {operation, maxAttempts, results} = options;
  let sent = 0;
  let ran = 0;
  for (const [index, result] of results.entries()) {
    const didRun =
      result.failure === undefined || !certainlyDidNotRun(result.failure);
    if (didRun) ran++;
    if (countsAsSent(result.failure)) sent++;
    const decision = decideRetry({
      operation,
      result,
      sentCount: sent,
      maxAttempts,
      hasOtherTarget: index + 1 < results.length,
      takeFromBudget: () => true,
    });
    if (decision !== RetryDecision.RETRY) return {sent, ran, decision, result};
  }
  throw new Error('retried without a target');
}

describe('decideRetry', () => {
  it('runs no unsafe call twice and does not exceed the maximum attempts', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(...Object.values(OperationKind)),
        fc.integer({min: 1, max: 4}),
        fc.array(resultArb, {minLength: 1, maxLength: 8}),
        (operation, maxAttempts, results) => {
          const {sent, ran, decision, result} = simulateCall({
            operation,
            maxAttempts,
            results,
          });
          expect(sent).toBeLessThanOrEqual(maxAttempts);
          if (operation === OperationKind.UNSAFE) {
            expect(ran).toBeLessThanOrEqual(1);
          }
          const isAnswered = result.failure === undefined;
          const isUntrue =
            operation === OperationKind.UNSAFE &&
            [408, 429, 503].includes(result.status ?? 0);
          expect(decision === RetryDecision.PASS_ON).toBe(
            isAnswered && !isUntrue,
          );
        },
      ),
      {seed: SEED, numRuns: 3_000},
    );
  });

  it('does not retry once the budget is spent', () => {
    const decision = decideRetry({
      operation: OperationKind.SAFE,
      result: {status: 500},
      sentCount: 1,
      maxAttempts: 3,
      hasOtherTarget: true,
      takeFromBudget: () => false,
    });
    expect(decision).toBe(RetryDecision.PASS_ON);
  });
});

describe('toFailureResponse', () => {
  it.each([
    {mayHaveRun: false, isTimedOut: false, status: 503},
    {mayHaveRun: false, isTimedOut: true, status: 503},
    {mayHaveRun: true, isTimedOut: false, status: 502},
    {mayHaveRun: true, isTimedOut: true, status: 504},
  ])(
    'returns $status if mayHaveRun is $mayHaveRun and isTimedOut is $isTimedOut',
    ({status, ...query}) => {
      expect(toFailureResponse(query).status).toBe(status);
    },
  );
});
