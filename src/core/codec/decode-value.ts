/** Decodes external input; failures are returned as values. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Codec} from 'purify-ts';

/**
 * Decodes a value with a codec; the error describes what was expected.
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
