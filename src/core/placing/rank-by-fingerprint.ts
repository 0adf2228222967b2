/** Keeps suspects apart from each other. */
import {createHash} from 'node:crypto';

import type {Target} from '../targets/index.js';

/**
 * Orders targets in a way that is each suspect's own, so that two of them
 * hardly ever meet. Serves the load of requests that lost targets together:
 * apart from each other, the one that ends targets loses the next one alone.
 *
 * @example
 * const [target] = rankApart(fingerprint, targets);
 */
export function rankByFingerprint(
  fingerprint: string,
  targets: readonly Target[],
): Target[] {
  const scoreOf = ({id}: Target) =>
    createHash('sha256').update(`${fingerprint} ${id}`).digest('hex');
  return targets
    .map((target) => ({target, score: scoreOf(target)}))
    .sort((a, b) => (a.score < b.score ? -1 : 1))
    .map(({target}) => target);
}
