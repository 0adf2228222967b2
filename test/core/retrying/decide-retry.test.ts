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

const endArb: fc.Arbitrary<AttemptResult> = fc.oneof(
  fc.record({failure: fc.constantFrom(...Object.values(ExchangeFailure))}),
  fc.record({status: fc.constantFrom(200, 204, 404, 500, 502, 503)}),
);

/** Plays a whole call against targets that end each try as told. */
function play(options: {
  operation: OperationKind;
  maxAttempts: number;
  ends: readonly AttemptResult[];
}) {
  const {operation, maxAttempts, ends} = options;
  let sent = 0;
  let ran = 0;
  for (const [index, end] of ends.entries()) {
    const didRun =
      end.failure === undefined || !certainlyDidNotRun(end.failure);
    if (didRun) ran++;
    if (countsAsSent(end.failure)) sent++;
    const verdict = decideRetry({
      operation,
      result: end,
      sentCount: sent,
      maxAttempts,
      hasOtherTarget: index + 1 < ends.length,
      takeFromBudget: () => true,
    });
    if (verdict !== RetryDecision.RETRY) return {sent, ran, verdict, end};
  }
  throw new Error('retried without a target');
}

describe('decideRetry', () => {
  it('runs no unsafe call twice, and sends none to too many targets', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(...Object.values(OperationKind)),
        fc.integer({min: 1, max: 4}),
        fc.array(endArb, {minLength: 1, maxLength: 8}),
        (operation, maxAttempts, ends) => {
          const {sent, ran, verdict, end} = play({
            operation,
            maxAttempts,
            ends,
          });
          expect(sent).toBeLessThanOrEqual(maxAttempts);
          if (operation === OperationKind.UNSAFE) {
            expect(ran).toBeLessThanOrEqual(1);
          }
          const isAnswered = end.failure === undefined;
          expect(verdict === RetryDecision.PASS_ON).toBe(isAnswered);
        },
      ),
      {seed: SEED, numRuns: 3_000},
    );
  });

  it('sends nothing again once the budget is spent', () => {
    const verdict = decideRetry({
      operation: OperationKind.SAFE,
      result: {status: 500},
      sentCount: 1,
      maxAttempts: 3,
      hasOtherTarget: true,
      takeFromBudget: () => false,
    });
    expect(verdict).toBe(RetryDecision.PASS_ON);
  });
});

describe('answerFailure', () => {
  it.each([
    {mayHaveRun: false, isTimedOut: false, status: 503},
    {mayHaveRun: false, isTimedOut: true, status: 503},
    {mayHaveRun: true, isTimedOut: false, status: 502},
    {mayHaveRun: true, isTimedOut: true, status: 504},
  ])('$mayHaveRun, $isTimedOut: $status', ({status, ...query}) => {
    expect(toFailureResponse(query).status).toBe(status);
  });
});
