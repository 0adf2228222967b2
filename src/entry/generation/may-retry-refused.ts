/** Whether a refused first attempt may be made elsewhere. */
import {RefusalReason} from '../../core/errors/index.js';
import type {RefusedMessage} from '../../core/protocol/index.js';
import type {GenerationTask, GenerationDeps} from './run-types.js';

/**
 * Takes a retry from the service's budget. Targets that leave cost none:
 * each refuses a request once.
 */
export function mayRetryRefused(options: {
  message: RefusedMessage;
  order: GenerationTask;
  parts: GenerationDeps;
}): boolean {
  const {message, order, parts} = options;
  if (message.reason === RefusalReason.LEAVING) return true;
  const {service: name, retryRatio} = order;
  return parts.retryBudgets.forService({name, retryRatio}).tryTakeRetry();
}
