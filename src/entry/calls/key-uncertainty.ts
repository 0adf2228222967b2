/** Corrects refusals of bookings whose idempotency key was not looked up. */
import type {RequestHead} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {FIRST_USE_HEADER} from '../consts.js';

/** Reasons for which a request is refused before its key is looked up. */
const PRE_LOOKUP_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.LEAVING,
  RefusalReason.NOT_READY,
  RefusalReason.NO_TARGET,
  RefusalReason.OVERLOADED,
  RefusalReason.ACCOUNT_LIMIT,
  RefusalReason.DEADLINE_UNREACHABLE,
  RefusalReason.DEADLINE_EXCEEDED,
]);

/** Whether the caller states that it has not used the key before. */
export function isFirstUse(req: RequestHead): boolean {
  return req.headers.some(
    ({name, value}) =>
      name.toLowerCase() === FIRST_USE_HEADER && value === 'true',
  );
}

/**
 * Sets `ran` to `unknown` if an earlier request with the same key may have
 * run and the key was not looked up.
 *
 * @example
 * return applyKeyUncertainty(req, {reason, ran: Executed.NO, detail});
 */
export function applyKeyUncertainty(
  req: RequestHead,
  refusal: Refusal,
): Refusal {
  const afterLookup = !PRE_LOOKUP_REASONS.has(refusal.reason);
  if (req.idempotencyKey === '' || afterLookup || isFirstUse(req))
    return refusal;
  return {...refusal, ran: Executed.UNKNOWN};
}
