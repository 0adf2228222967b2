/** Bytes that are collected in one block. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {ByteBuffer} from '../../../src/core/bytes/index.js';

const SEED = 20261205;

/** Pieces of a response of 4 MiB that comes byte by byte. */
const TINY_PIECES = 4 * 1024 * 1024;

/** Most memory for each byte that is kept, while the block grows. */
const MEMORY_PER_BYTE = 4;

describe('ByteBuffer', () => {
  it('returns the bytes of all pieces in order', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({maxLength: 3_000}), {maxLength: 30}),
        fc.integer({min: 0, max: 5_000}),
        (pieces, capacity) => {
          const buffer = new ByteBuffer({capacity});
          for (const piece of pieces) buffer.push(piece);
          const expected = Buffer.concat(pieces);
          expect(buffer.length).toBe(expected.length);
          expect(buffer.toBytes().equals(expected)).toBe(true);
        },
      ),
      {seed: SEED, numRuns: 500},
    );
  });

  it('leaves returned bytes as they are when more are pushed', () => {
    const buffer = new ByteBuffer();
    buffer.push(Buffer.from('ab'));
    const bytes = buffer.toBytes();
    buffer.push(Buffer.from('cd'));
    expect(bytes.toString()).toBe('ab');
  });

  // Guards against the heap of an entry filled by one response (review, case 2).
  it('takes memory for bytes, not for pieces', () => {
    const before = process.memoryUsage();
    const buffer = new ByteBuffer();
    for (let i = 0; i < TINY_PIECES; i++) buffer.push(Buffer.of(i & 255));
    const after = process.memoryUsage();
    expect(buffer.length).toBe(TINY_PIECES);
    expect(after.heapUsed - before.heapUsed).toBeLessThan(
      TINY_PIECES * MEMORY_PER_BYTE,
    );
  });

  // Guards against bodies that go on to take memory after they were refused.
  it('takes nothing once it is closed', () => {
    const buffer = new ByteBuffer();
    buffer.push(Buffer.from('ab'));
    buffer.close();
    buffer.push(Buffer.from('cd'));
    expect([buffer.length, buffer.isClosed]).toEqual([0, true]);
  });
});
