/** Which losses of a target a pause of its reader explains. */
import {describe, expect, it} from 'vitest';

import {
  MIN_UNREAD_MS,
  PAUSE_AFTERMATH_MS,
  ReaderPause,
} from '../../../src/core/streams/index.js';

const START_MS = 5_000;

const LONG = MIN_UNREAD_MS;

const SHORT = MIN_UNREAD_MS - 1;

/** Pauses and reads by turns, and when the target is lost after the last. */
const CASES: ReadonlyArray<{
  readonly what: string;
  /** Lengths of pauses, each followed by a read, in milliseconds. */
  readonly pausesMs: readonly number[];
  /** Length of a pause that has not ended; none by default. */
  readonly openMs?: number;
  readonly lostAfterMs: number;
  readonly isExplained: boolean;
}> = [
  {what: 'no pause', pausesMs: [], lostAfterMs: 0, isExplained: false},
  {what: 'a short one', pausesMs: [SHORT], lostAfterMs: 0, isExplained: false},
  {what: 'a long one', pausesMs: [LONG], lostAfterMs: 0, isExplained: true},
  {
    what: 'a long one, and its aftermath',
    pausesMs: [LONG],
    lostAfterMs: PAUSE_AFTERMATH_MS,
    isExplained: true,
  },
  {
    what: 'a long one, long ago',
    pausesMs: [LONG],
    lostAfterMs: PAUSE_AFTERMATH_MS + 1,
    isExplained: false,
  },
  {
    what: 'a short one after a long one',
    pausesMs: [LONG, 10],
    lostAfterMs: 0,
    isExplained: true,
  },
  {
    what: 'many short ones',
    pausesMs: [SHORT, SHORT, SHORT],
    lostAfterMs: 0,
    isExplained: false,
  },
  {
    what: 'a long one that lasts',
    pausesMs: [],
    openMs: LONG,
    lostAfterMs: 0,
    isExplained: true,
  },
  {
    what: 'a short one that lasts',
    pausesMs: [],
    openMs: SHORT,
    lostAfterMs: 0,
    isExplained: false,
  },
];

describe('the pause of a reader', () => {
  it.each(CASES)('explains a loss or not: $what', (row) => {
    const pause = new ReaderPause();
    let nowMs = START_MS;
    for (const pauseMs of row.pausesMs) {
      pause.begin(nowMs);
      nowMs += pauseMs;
      pause.end(nowMs);
    }
    if (row.openMs !== undefined) {
      pause.begin(nowMs);
      nowMs += row.openMs;
    }
    const lostMs = nowMs + row.lostAfterMs;
    expect(pause.explainsLoss(lostMs)).toBe(row.isExplained);
  });
});
