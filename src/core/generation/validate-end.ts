/** Whether an engine's word that an answer is over can be taken. */
import type {GenerationSpec, Token} from '../edges/engine-driver.js';
import {FinishReason} from '../edges/engine-driver.js';
import {detectFinish} from './detect-finish.js';

/** Tokens after a resume within which an end is confirmed elsewhere. */
export const EARLY_END_WINDOW = 16;

/** What to do with an end. */
export enum EndVerdict {
  ACCEPT = 'accept',
  /** Ask another engine to go on; it ends at once if the answer is whole. */
  CONFIRM = 'confirm',
  /** The end contradicts the request; the attempt is broken. */
  BROKEN = 'broken',
}

/** An end as an attempt reported it. */
export interface ReportedEnd {
  readonly finishReason: FinishReason;
  /** Length of the whole answer. */
  readonly length: number;
}

/**
 * Judges an end. `length` before `maxTokens` is broken. A `stop` that the
 * text does not show, and that comes shortly after a resume, is confirmed by
 * another engine; an attempt that adds no token and ends confirms it.
 *
 * @example
 * judgeEnd({end, spec, tokens, resumedAt: 120});
 */
export function validateEnd(options: {
  end: ReportedEnd;
  spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
  /** The answer as it was received. */
  tokens: readonly Token[];
  /** Length of the answer when the attempt began. */
  resumedAt: number;
}): EndVerdict {
  const {end, spec, tokens, resumedAt} = options;
  if (end.length !== tokens.length) return EndVerdict.BROKEN;
  const known = detectFinish({spec, tokens});
  if (known === end.finishReason) return EndVerdict.ACCEPT;
  if (end.finishReason === FinishReason.LENGTH) return EndVerdict.BROKEN;
  const added = tokens.length - resumedAt;
  const early = resumedAt > 0 && added > 0 && added <= EARLY_END_WINDOW;
  return early ? EndVerdict.CONFIRM : EndVerdict.ACCEPT;
}
