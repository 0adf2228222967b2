/** Decides from the output of a target that a prompt part is harmless. */

/** Time for which the target must have sent events, in milliseconds. */
const MIN_WRITING_MS = 1_000;

/**
 * Events that it must have sent. After a pause of this process, a few events
 * of a target that has crashed meanwhile may be read late.
 */
const MIN_EVENTS = 10;

/**
 * Returns whether a target has written so much of a response that no part of
 * the prompt can have crashed it.
 *
 * @example
 * showsHarmlessParts({writingMs: 1_200, events: 30}); // true
 */
export function showsHarmlessParts(output: {
  /** Time since its first event, in milliseconds. */
  writingMs: number;
  events: number;
}): boolean {
  return output.writingMs >= MIN_WRITING_MS && output.events >= MIN_EVENTS;
}
