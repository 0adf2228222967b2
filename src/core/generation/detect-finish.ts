/** Detects the end of an output from its tokens. */
import type {GenerationSpec, Token} from '../edges/engine-driver.js';
import {FinishReason} from '../edges/engine-driver.js';

/**
 * Returns why an output has ended: it contains a stop string or has reached
 * `maxTokens`. Undefined if the tokens alone do not show an end.
 *
 * @example
 * detectFinish({spec, tokens}) ?? startNextAttempt();
 */
export function detectFinish(options: {
  spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
  tokens: readonly Token[];
}): FinishReason | undefined {
  const {spec, tokens} = options;
  if (hasStopString(spec.stop, tokens)) return FinishReason.STOP;
  if (tokens.length >= spec.maxTokens) return FinishReason.LENGTH;
  return undefined;
}

/** Searches only the tail where a stop string can end in the last token. */
function hasStopString(
  stop: readonly string[],
  tokens: readonly Token[],
): boolean {
  const stopStrings = stop.filter((text) => text !== '');
  if (stopStrings.length === 0) return false;
  const longest = Math.max(...stopStrings.map((text) => text.length));
  const lastText = tokens.at(-1)?.text ?? '';
  const tailLength = longest + lastText.length;
  let tail = '';
  for (let i = tokens.length - 1; i >= 0 && tail.length < tailLength; i--) {
    tail = tokens[i]!.text + tail;
  }
  return stopStrings.some((text) => tail.includes(text));
}
