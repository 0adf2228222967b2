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
  const {work, ...fields} = options;
  const {attemptId, method, path, headers, body} = work.req;
  const clientAccount = work.admitted.account?.clientAccount;
  return {attemptId, method, path, headers, body, clientAccount, ...fields};
}
