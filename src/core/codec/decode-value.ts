/** Decodes external input; failures are returned as values. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Codec, Maybe} from 'purify-ts';
import {Just, Nothing} from 'purify-ts';

/** Error of a value whose nesting exhausts the stack of the decoder. */
const TOO_DEEP = 'nested too deeply';

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
  try {
    return codec.decode(value).caseOf<Result<T, string>>({
      Left: (detail) => err(detail),
      Right: (decoded) => ok(decoded),
    });
  } catch (e) {
    // A codec describes what it found, which recurses into the value.
    if (e instanceof RangeError) return err(TOO_DEEP);
    throw e;
  }
}

/**
 * Decodes a value with a codec; Nothing if it is malformed.
 *
 * @example
 * decodeMaybe(RECORD, spec).map(({address}) => address);
 */
export function decodeMaybe<T>(
  codec: Pick<Codec<T>, 'decode'>,
  value: unknown,
): Maybe<T> {
  return decodeValue(codec, value).match(
    (decoded) => Just(decoded),
    () => Nothing,
  );
}
