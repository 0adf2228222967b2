/** Forwards a buffered response of a target to the caller. */
import type {CallerResponse} from '../core/edges/direct-caller.js';
import type {TargetResponseHead} from '../core/edges/direct-target.js';

/**
 * Sends a response as its target framed it. A body that only the end of the
 * connection delimits gets no length, which would vouch for its completeness.
 *
 * @example
 * forwardResponse({res, head, body});
 */
export function forwardResponse(options: {
  res: CallerResponse;
  head: TargetResponseHead;
  body: Uint8Array;
}): void {
  const {res, head, body} = options;
  const {status, headers, isSelfDelimited} = head;
  if (isSelfDelimited) res.sendComplete({status, headers}, body);
  else res.sendCloseDelimited({status, headers}, body);
}
