/** Builds the request that is sent to a target. */
import type {TargetRequest} from '../core/edges/direct-target.js';
import type {DirectWork} from './context.js';

/** Fields that differ between the attempts of one request. */
export type AttemptFields = Pick<
  TargetRequest,
  'lastEventId' | 'copyTo' | 'copyFrom' | 'priority' | 'reservation'
>;

/**
 * Builds the request of one attempt.
 *
 * @example
 * const req = toTargetRequest({work, leftMs: 800});
 */
export function toTargetRequest(
  options: {work: DirectWork; leftMs: number} & Partial<AttemptFields>,
): TargetRequest {
  const {req, admitted} = options.work;
  return {
    attemptId: req.attemptId,
    method: req.method,
    path: req.path,
    headers: req.headers,
    body: req.body,
    leftMs: options.leftMs,
    clientAccount: admitted.account?.clientAccount,
    priority: options.priority,
    lastEventId: options.lastEventId,
    copyTo: options.copyTo,
    copyFrom: options.copyFrom,
    reservation: options.reservation,
  } satisfies Record<keyof TargetRequest, unknown>;
}
