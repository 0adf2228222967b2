/** Decides what is done for the copy of a generation while it runs. */
import {
  COPY_REFRESH_MS,
  COPY_RETRY_MS,
  COPY_SEARCH_INTERVAL_MS,
} from './consts.js';
import type {CopyState} from './types.js';
import {CopyStep} from './types.js';

/**
 * Decides on the copy of a generation that has just sent an event.
 *
 * Answers outages of one data centre after the other: a generation that went on
 * elsewhere after the first has no copy yet when the second comes, as reports
 * showed no room for one at that moment. It is looked for again.
 *
 * @example
 * decideCopyStep({copy: undefined, mustHaveCopy: true, ageMs: 1_000}); // SEARCH
 */
export function decideCopyStep({
  copy,
  mustHaveCopy,
  ageMs,
}: CopyState): CopyStep {
  if (copy === undefined) {
    const isDue = mustHaveCopy && ageMs >= COPY_SEARCH_INTERVAL_MS;
    return isDue ? CopyStep.SEARCH : CopyStep.KEEP;
  }
  if (!copy.isUsable) {
    if (ageMs < COPY_RETRY_MS) return CopyStep.KEEP;
    return mustHaveCopy ? CopyStep.SEARCH : CopyStep.REPLACE;
  }
  const isOld = copy.isRequested && ageMs >= COPY_REFRESH_MS;
  return isOld ? CopyStep.REFRESH : CopyStep.KEEP;
}
