import {Just, type Maybe, Nothing} from 'purify-ts';

/** Maximum edit distance between an unknown key and the suggested key. */
const MAX_EDITS = 3;

/**
 * Returns the known key with the smallest edit distance to an unknown key.
 *
 * @example
 * findNearestKey('wieght', ['weight', 'models']); // Just('weight')
 */
export function findNearestKey(
  key: string,
  known: readonly string[],
): Maybe<string> {
  let best: Maybe<string> = Nothing;
  // As many edits as characters would turn the key into any other short key.
  let bestEdits = Math.min(MAX_EDITS, key.length - 1) + 1;
  for (const candidate of known) {
    const edits = countEdits(key.toLowerCase(), candidate.toLowerCase());
    if (edits < bestEdits) {
      best = Just(candidate);
      bestEdits = edits;
    }
  }
  return best;
}

/** Returns the Levenshtein distance of two strings. */
function countEdits(a: string, b: string): number {
  let row = Array.from({length: b.length + 1}, (_, i) => i);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const substitution = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      const insertion = (next[j - 1] ?? 0) + 1;
      const deletion = (row[j] ?? 0) + 1;
      next.push(Math.min(substitution, insertion, deletion));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}
