/** Names why the prompt of a lost generation has to be read again. */
import {mayHaveCopy} from './copy-progress.js';
import type {LostAttempt} from './types.js';
import {RereadCause} from './types.js';

/**
 * Returns why the prompt is read again if a generation goes on without a copy
 * after this loss; undefined if nothing was read yet. An attempt that did not
 * run leaves the cause of the loss before it, `earlier`, unless it was to resume
 * from a copy.
 *
 * @example
 * rereadCauseOf({didRun: true, usedCopy: false, copy, earlier: undefined});
 */
export function rereadCauseOf(lost: LostAttempt): RereadCause | undefined {
  const {didRun, usedCopy, copy, earlier} = lost;
  if (!didRun) return usedCopy ? RereadCause.HOLDER_REFUSED : earlier;
  if (!copy.hasHolder) return RereadCause.NO_COPY;
  return mayHaveCopy(copy) ? RereadCause.HOLDER_LOST : RereadCause.COPY_TOO_NEW;
}
