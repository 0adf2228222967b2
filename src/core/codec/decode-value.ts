/** Decodes what came from outside, with failures as values. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Codec} from 'purify-ts';

/**
 * A value of a codec's type; the error tells what was expected.
 *
 * @example
 * decodeValue(REPORT, parseJson(body)).map(({active}) => active);
 */
export function decodeValue<T>(
  codec: Pick<Codec<T>, 'decode'>,
  value: unknown,
): Result<T, string> {
  return codec.decode(value).caseOf<Result<T, string>>({
    Left: (detail) => err(detail),
    Right: (decoded) => ok(decoded),
  });
}
