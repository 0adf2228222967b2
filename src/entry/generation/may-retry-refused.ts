/** Decides whether a refused first attempt is retried at another target. */
import {RefusalReason} from '../../core/errors/index.js';
import type {RefusedMessage} from '../../core/protocol/index.js';
import type {GenerationTask, GenerationDeps} from './run-types.js';

/**
 * Returns whether a refused first attempt may be retried, and takes the retry
 * from the service's budget. A refusal by a draining target is free, as each
 * such target refuses a request only once.
 */
export function mayRetryRefused(options: {
  message: RefusedMessage;
  task: GenerationTask;
  deps: GenerationDeps;
}): boolean {
  const {message, task, deps} = options;
  if (message.reason === RefusalReason.LEAVING) return true;
  const {service: name, retryRatio} = task;
  return deps.retryBudgets.forService({name, retryRatio}).tryTakeRetry();
}
