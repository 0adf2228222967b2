/**
 * Tokens of the model engine. Each id maps to a UTF-8 byte sequence. Tokens
 * come in pairs because some characters are split across two tokens.
 */

/** Id of the first token. */
const FIRST_TOKEN_ID = 1_000;

const WHOLE_PAIRS: ReadonlyArray<readonly [string, string]> = [
  ['pumice', ' bags'],
  [' on', ' pallets'],
  [' hoop', ' number'],
  [' stave', ' length'],
  [',', ' then'],
  [' iron', ' band'],
  ['.', ' Next'],
  [' the', ' cask'],
];

const SPLIT_CHARACTERS = ['é', 'è', 'ç', 'œ', 'ł', 'ń', 'ż', 'ś', '🪵', '🚚'];

/** Bytes of a split character in its first token. */
const SPLIT_BYTES = 1;

const PAIRS: ReadonlyArray<readonly [Buffer, Buffer]> = [
  ...WHOLE_PAIRS.map(wholePair),
  ...SPLIT_CHARACTERS.map(splitPair),
];

/** Number of token pairs in the vocabulary. */
export const PAIR_COUNT = PAIRS.length;

/**
 * Returns the id of the first (0) or second (1) token of a pair.
 *
 * @example
 * tokenIdOf({pair: 0, half: 1});
 */
export function tokenIdOf(options: {pair: number; half: number}): number {
  return FIRST_TOKEN_ID + options.pair * 2 + options.half;
}

/**
 * Returns the bytes of a token; empty for an unknown id.
 *
 * @example
 * bytesOf(1000).toString('utf8');
 */
export function bytesOf(id: number): Buffer {
  const index = id - FIRST_TOKEN_ID;
  const pair = PAIRS[Math.floor(index / 2)];
  return pair?.[index % 2] ?? Buffer.alloc(0);
}

function wholePair(texts: readonly [string, string]): [Buffer, Buffer] {
  return [Buffer.from(texts[0]), Buffer.from(texts[1])];
}

function splitPair(character: string): [Buffer, Buffer] {
  const bytes = Buffer.from(character);
  return [bytes.subarray(0, SPLIT_BYTES), bytes.subarray(SPLIT_BYTES)];
}
