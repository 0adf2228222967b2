/** What can be known of an answer's end from its tokens alone. */
import type {GenerationSpec, Token} from '../edges/engine-driver.js';
import {FinishReason} from '../edges/engine-driver.js';

/**
 * Returns why an answer is over, as far as its tokens show: a stop string
 * was completed, or `maxTokens` are there. Undefined where only an engine
 * can tell.
 *
 * @example
 * resolveKnownFinish({spec, tokens}) ?? startNextAttempt();
 */
export function detectFinish(options: {
  spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
  tokens: readonly Token[];
}): FinishReason | undefined {
  const {spec, tokens} = options;
  if (endsWithStop(spec.stop, tokens)) return FinishReason.STOP;
  if (tokens.length >= spec.maxTokens) return FinishReason.LENGTH;
  return undefined;
}

/** Looks only at the text that the last tokens make up. */
function endsWithStop(
  stop: readonly string[],
  tokens: readonly Token[],
): boolean {
  const wanted = stop.filter((text) => text !== '');
  if (wanted.length === 0) return false;
  const longest = Math.max(...wanted.map((text) => text.length));
  const lastText = tokens.at(-1)?.text ?? '';
  const needed = longest + lastText.length;
  let tail = '';
  for (let i = tokens.length - 1; i >= 0 && tail.length < needed; i--) {
    tail = tokens[i]!.text + tail;
  }
  return wanted.some((text) => tail.includes(text));
}
