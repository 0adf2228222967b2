/** Ranks targets so that requests that may crash one get different targets. */
import {createHash} from 'node:crypto';

import type {Target} from '../targets/index.js';

/**
 * Orders targets by a hash of the request's fingerprint and the target's id
 * (rendezvous hashing), so that two requests rarely get the same target first.
 * After a target was lost with several requests, they therefore go to different
 * targets, and the request that caused the crash loses the next target alone.
 *
 * @example
 * const [target] = rankByFingerprint(fingerprint, targets);
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
