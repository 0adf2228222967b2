import {Codec, Left, Right} from 'purify-ts';

/** Codec for a CBOR byte string. */
export const byteString = Codec.custom<Uint8Array>({
  decode: (input) =>
    input instanceof Uint8Array ? Right(input) : Left('expected bytes'),
  encode: (input) => input,
});
