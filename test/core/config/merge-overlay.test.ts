import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {mergeOverlay} from '../../../src/core/config/index.js';

const SEED = 20261204;
const RUNS = 2_000;

type Json = null | boolean | number | string | Json[] | {[key: string]: Json};

function isMap(value: Json | undefined): value is {[key: string]: Json} {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Reference implementation: applies the merge rules to plain values. */
function mergeNaively(base: Json | undefined, overlay: Json): Json {
  if (!isMap(overlay)) {
    return overlay;
  }
  const merged: {[key: string]: Json} = isMap(base)
    ? structuredClone(base)
    : {};
  for (const key of Object.keys(overlay)) {
    const value = overlay[key] as Json;
    if (value === null) {
      delete merged[key];
    } else {
      merged[key] = mergeNaively(merged[key], value);
    }
  }
  return merged;
}

const {json: jsonArb} = fc.letrec<{json: Json}>((tie) => ({
  json: fc.oneof(
    {depthSize: 'small', withCrossShrink: true},
    fc.constant(null),
    fc.integer({min: 0, max: 3}),
    fc.constantFrom('x', 'y'),
    fc.array(tie('json'), {maxLength: 2}),
    fc.dictionary(fc.constantFrom('a', 'b', 'c'), tie('json'), {
      noNullPrototype: true,
    }),
  ),
}));

describe('mergeOverlay', () => {
  it('returns the same result as the reference implementation', () => {
    fc.assert(
      fc.property(jsonArb, jsonArb, (base, overlay) => {
        const expected = overlay === null ? base : mergeNaively(base, overlay);
        expect(mergeOverlay({base, overlay})).toEqual(expected);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
