/** Validates the end of an output as an engine reports it. */
import type {GenerationSpec, Token} from '../edges/engine-driver.js';
import {FinishReason} from '../edges/engine-driver.js';
import {detectFinish} from './detect-finish.js';

/** A `stop` within this many tokens after a resume needs a confirmation. */
export const EARLY_END_WINDOW = 16;

/** How to handle an end. */
export enum EndVerdict {
  ACCEPT = 'accept',
  /** Resume at another engine, which ends at once if the output is complete. */
  CONFIRM = 'confirm',
  /** The end contradicts the request; the attempt is broken. */
  BROKEN = 'broken',
}

/** An end as reported by an attempt. */
export interface ReportedEnd {
  readonly finishReason: FinishReason;
  /** Length of the complete output, in tokens. */
  readonly length: number;
}

/**
 * Validates an end. With the reason `length` before `maxTokens` it is broken.
 * With the reason `stop` shortly after a resume it needs a confirmation by
 * another engine, unless the text contains a stop string. An attempt that ends
 * without a new token confirms it.
 *
 * @example
 * validateEnd({end, spec, tokens, resumePosition: 120});
 */
export function validateEnd(options: {
  end: ReportedEnd;
  spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
  /** The output as received. */
  tokens: readonly Token[];
  /** Length of the output when the attempt began, in tokens. */
  resumePosition: number;
}): EndVerdict {
  const {end, spec, tokens, resumePosition} = options;
  if (end.length !== tokens.length) return EndVerdict.BROKEN;
  const detected = detectFinish({spec, tokens});
  if (detected === end.finishReason) return EndVerdict.ACCEPT;
  if (end.finishReason === FinishReason.LENGTH) return EndVerdict.BROKEN;
  const added = tokens.length - resumePosition;
  const isEarly = resumePosition > 0 && added > 0 && added <= EARLY_END_WINDOW;
  return isEarly ? EndVerdict.CONFIRM : EndVerdict.ACCEPT;
}
