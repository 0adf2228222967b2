/** Decides whether an attempt that an agent refused ends its generation. */
import type {Refusal} from '../../core/errors/index.js';
import {RefusalReason} from '../../core/errors/index.js';
import type {RefusedMessage} from '../../core/protocol/index.js';
import {retryBudgetSpent} from './run-refusals.js';
import type {GenerationTask, GenerationDeps} from './run-types.js';

/** A refused attempt and the generation that it belongs to. */
export interface RefusedAttempt {
  readonly message: RefusedMessage;
  readonly task: GenerationTask;
  readonly deps: GenerationDeps;
  /** Whether an earlier attempt has run. */
  readonly hasBegun: boolean;
  /** Whether a target that has not refused is usable. */
  readonly hasOther: () => boolean;
}

/**
 * Returns the refusal with which the generation ends; undefined if it goes on.
 * One that has begun goes on. A refusal by a draining target costs no retry, as
 * each such target refuses a request only once, nor does one because of a
 * target's limit, as the target got nothing.
 *
 * @example
 * const refusal = finalRefusal(attempt);
 * if (refusal !== undefined) fail(refusal);
 */
export function finalRefusal(attempt: RefusedAttempt): Refusal | undefined {
  const {message, task, deps, hasBegun, hasOther} = attempt;
  if (hasBegun || message.reason === RefusalReason.LEAVING) return undefined;
  if (message.reason === RefusalReason.TARGET_LIMIT)
    return hasOther() ? undefined : message;
  const {service: name, retryRatio} = task;
  const budget = deps.retryBudgets.forService({name, retryRatio});
  return budget.tryTakeRetry() ? undefined : retryBudgetSpent();
}
