import {describe, expect, it} from 'vitest';

import type {EpochRecord} from '../../../src/core/sync/index.js';
import {mergeEpochRecord, wasRestored} from '../../../src/core/sync/index.js';

const recordOf = (epoch: number, version: number, isSettled: boolean) => ({
  epoch,
  version,
  isSettled,
});

describe('mergeEpochRecord', () => {
  it.each<{
    name: string;
    stored?: EpochRecord;
    own: EpochRecord;
    written?: EpochRecord;
  }>([
    {name: 'none', own: recordOf(2, 9, false), written: recordOf(2, 9, false)},
    {
      name: 'one of an earlier epoch',
      stored: recordOf(1, 12, true),
      own: recordOf(2, 9, false),
      written: recordOf(2, 9, false),
    },
    {
      name: 'an equal one',
      stored: recordOf(2, 9, true),
      own: recordOf(2, 9, true),
    },
    {
      name: 'one that tells more',
      stored: recordOf(2, 9, true),
      own: recordOf(2, 7, false),
    },
    {
      name: 'one of a newer version',
      stored: recordOf(2, 9, false),
      own: recordOf(2, 7, true),
      written: recordOf(2, 9, true),
    },
    {
      name: 'one of an older version',
      stored: recordOf(2, 7, true),
      own: recordOf(2, 9, false),
      written: recordOf(2, 9, true),
    },
  ])('adds to $name', ({stored, own, written}) => {
    expect(mergeEpochRecord(stored, own)).toEqual(written);
  });
});

describe('wasRestored', () => {
  it.each([
    {epoch: undefined, restored: false},
    {epoch: 1, restored: false},
    {epoch: 2, restored: true},
  ])('tells of epoch $epoch: $restored', ({epoch, restored}) => {
    expect(wasRestored(epoch)).toBe(restored);
  });
});
