/** Decides whether a lost generation has a copy from which it can resume. */
import {COPY_LAG_MS, MIN_EVENTS_FOR_COPY} from './consts.js';
import type {CopyProgress} from './types.js';

/**
 * Whether the holder of a copy may have received a part of the KV cache. The
 * engine sends it as it grows, so also while it reads the prompt: the holder
 * then reads the rest. A holder without any of it rejects the generation, which
 * costs one message.
 *
 * @example
 * mayHaveCopy({hasHolder: true, events: 0, ageMs: 800}); // true
 */
export function mayHaveCopy(progress: CopyProgress): boolean {
  const {hasHolder, events, ageMs} = progress;
  if (!hasHolder) return false;
  return events >= MIN_EVENTS_FOR_COPY || ageMs >= COPY_LAG_MS;
}
