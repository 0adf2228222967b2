/** The limit that a stand-in target names in its responses. */
import type {ServerResponse} from 'node:http';

import {Header} from '../../platform/names.js';

/**
 * Names a limit in a response, in requests a second; none if it is negative.
 *
 * @example
 * nameLimit(res, 2.6);
 */
export function nameLimit(res: ServerResponse, perSecond: number): void {
  if (perSecond >= 0) res.setHeader(Header.LIMIT, String(perSecond));
}
