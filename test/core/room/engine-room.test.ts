/** Tests what engines have room for. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {hasRoomForCopy, leavesSpareRoom} from '../../../src/core/room/index.js';
import {Target} from '../../../src/core/targets/index.js';

const KV_CAPACITY_TOKENS = 55_000;
const TOKENS = 6_500;

interface Case {
  readonly name: string;
  /** Tokens that the engine reports; undefined if it has not reported. */
  readonly usedTokens?: number;
  /** Requests that it reports; none by default. */
  readonly running?: number;
  /** Tokens of the generation that looks for room; `TOKENS` by default. */
  readonly tokens?: number;
  readonly leavesSpareRoom: boolean;
  /** Whether it may hold a copy of the generation. */
  readonly holdsCopy: boolean;
}

const CASES: readonly Case[] = [
  {
    name: 'an empty one',
    usedTokens: 0,
    leavesSpareRoom: true,
    holdsCopy: true,
  },
  {
    name: 'one that is half full',
    usedTokens: 4 * TOKENS,
    running: 4,
    leavesSpareRoom: true,
    holdsCopy: true,
  },
  {
    name: 'one with room for three generations',
    usedTokens: 5 * TOKENS,
    running: 5,
    leavesSpareRoom: true,
    holdsCopy: true,
  },
  {
    name: 'one with room for two generations',
    usedTokens: 6 * TOKENS,
    running: 6,
    leavesSpareRoom: true,
    holdsCopy: true,
  },
  {
    name: 'one with room for one generation',
    usedTokens: 7 * TOKENS,
    running: 7,
    leavesSpareRoom: false,
    holdsCopy: false,
  },
  {
    name: 'one whose generations have only begun',
    usedTokens: 2 * TOKENS,
    running: 7,
    leavesSpareRoom: false,
    holdsCopy: false,
  },
  {
    name: 'one that has not reported',
    leavesSpareRoom: true,
    holdsCopy: false,
  },
  {
    name: 'an empty one, for a generation that fills it',
    usedTokens: 0,
    tokens: KV_CAPACITY_TOKENS - 1,
    leavesSpareRoom: true,
    holdsCopy: false,
  },
];

describe('an engine', () => {
  it.each(CASES)('$name', (row) => {
    const {usedTokens, running = 0, tokens = TOKENS} = row;
    const target = new Target({
      clock: new ManualClock(),
      record: {
        id: 'i-1',
        service: 's',
        address: '127.0.0.1:1',
        dataCentre: 'a',
        slots: 64,
        isDraining: false,
      },
    });
    if (usedTokens !== undefined)
      target.recordLoad({running, waiting: 0, kvUsedTokens: usedTokens});
    const query = {
      target,
      tokens,
      meanTokens: TOKENS,
      kvCapacityTokens: KV_CAPACITY_TOKENS,
    };
    expect(leavesSpareRoom(query)).toBe(row.leavesSpareRoom);
    expect(hasRoomForCopy(query)).toBe(row.holdsCopy);
  });
});
