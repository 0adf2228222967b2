/** Refusals of bookings whose key has not been looked up. */
import type {RequestHead} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {FIRST_USE_HEADER} from '../consts.js';

/** Reasons that say nothing of an earlier request with the same key. */
const SPEAKS_OF_REQUEST: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.LEAVING,
  RefusalReason.NOT_READY,
  RefusalReason.NO_TARGET,
  RefusalReason.OVERLOADED,
  RefusalReason.ACCOUNT_LIMIT,
  RefusalReason.DEADLINE_UNREACHABLE,
  RefusalReason.DEADLINE_EXCEEDED,
]);

/** Whether the caller vouches that it has not used the key before. */
export function isFirstUse(req: RequestHead): boolean {
  return req.headers.some(
    ({name, value}) =>
      name.toLowerCase() === FIRST_USE_HEADER && value === 'true',
  );
}

/**
 * Says `unknown` in place of `no` where an earlier request with the key may
 * have run and nobody has looked.
 *
 * @example
 * return tellOfKey(req, {reason: RefusalReason.OVERLOADED, ran: Ran.NO, detail});
 */
export function applyKeyUncertainty(
  req: RequestHead,
  refusal: Refusal,
): Refusal {
  const looked = !SPEAKS_OF_REQUEST.has(refusal.reason);
  if (req.idempotencyKey === '' || looked || isFirstUse(req)) return refusal;
  return {...refusal, ran: Executed.UNKNOWN};
}
