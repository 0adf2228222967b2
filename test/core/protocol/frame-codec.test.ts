import {Encoder} from 'cbor-x';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {Message} from '../../../src/core/protocol/index.js';
import {
  encodeFrame,
  FrameReader,
  LENGTH_BYTES,
  MAX_FRAME_BYTES,
  MessageType,
  TransportErrorKind,
} from '../../../src/core/protocol/index.js';

const SEED = 20261204;

function frameOf(value: unknown): Buffer {
  const body = new Encoder({useRecords: false}).encode(value);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

const TOO_LARGE = Buffer.alloc(LENGTH_BYTES);
TOO_LARGE.writeUInt32BE(MAX_FRAME_BYTES + 1);

const BAD_FRAMES = [
  {
    name: 'a length over the limit',
    bytes: TOO_LARGE,
    kind: TransportErrorKind.FRAME_TOO_LARGE,
  },
  {
    name: 'malformed CBOR',
    bytes: Buffer.from([0, 0, 0, 2, 0x5a, 0xff]),
    kind: TransportErrorKind.BAD_CBOR,
  },
  {
    name: 'a value that is not a message',
    bytes: frameOf(7),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
  {
    name: 'an unknown message type',
    bytes: frameOf({type: 'nonsense'}),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
  {
    name: 'a message with a field of the wrong type',
    bytes: frameOf({type: MessageType.CANCEL, attemptId: 7}),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
];

describe('FrameReader', () => {
  it.each(BAD_FRAMES)('reports $name', ({bytes, kind}) => {
    const read = new FrameReader().push(bytes);
    expect(read._unsafeUnwrapErr().kind).toBe(kind);
  });

  it('returns the same messages however the bytes are split', () => {
    const messageArb = fc.record({
      type: fc.constant(MessageType.TOKENS as const),
      attemptId: fc.string(),
      position: fc.nat(),
      ids: fc.array(fc.nat()),
      texts: fc.array(fc.string({unit: 'binary'})),
    });
    const checkChunks = (messages: Message[], cuts: number[]): void => {
      const bytes = Buffer.concat(messages.map(encodeFrame));
      const reader = new FrameReader();
      const received: Message[] = [];
      let start = 0;
      const ends = cuts.map((cut) => cut % (bytes.length + 1));
      for (const end of [...ends.sort((a, b) => a - b), bytes.length]) {
        const chunk = bytes.subarray(start, end);
        received.push(...reader.push(chunk)._unsafeUnwrap());
        start = end;
      }
      expect(received).toEqual(messages);
    };
    fc.assert(
      fc.property(
        fc.array(messageArb, {maxLength: 5}),
        fc.array(fc.nat(), {maxLength: 8}),
        checkChunks,
      ),
      {seed: SEED},
    );
  });
});
