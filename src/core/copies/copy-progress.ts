/** Decides whether a lost generation has a copy from which it can resume. */
import {COPY_LAG_MS, MIN_EVENTS_FOR_COPY} from './consts.js';
import type {CopyProgress} from './types.js';

/**
 * Whether the holder of a copy may have received the KV cache. The engine sends
 * none of it before its first event, so a prompt that was being read is lost. A
 * holder without a copy rejects the generation, which costs one message.
 *
 * @example
 * mayHaveCopy({hasHolder: true, events: 1, writingMs: 800}); // true
 */
export function mayHaveCopy(progress: CopyProgress): boolean {
  const {hasHolder, events, writingMs} = progress;
  if (!hasHolder || events === 0) return false;
  return events >= MIN_EVENTS_FOR_COPY || writingMs >= COPY_LAG_MS;
}
