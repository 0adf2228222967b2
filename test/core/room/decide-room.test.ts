/** Tests what becomes of a generation that finds no room. */
import {describe, expect, it} from 'vitest';

import {decideRoom, RoomDecision} from '../../../src/core/room/index.js';

const REQUEST = {
  priority: 1,
  clientAccount: 'a',
  receivedMs: 0,
  objectiveAtMs: 4_000,
  deadlineAtMs: 25_000,
  firstEventMs: 1_000,
  shortestMs: 6_000,
};

describe('decideRoom', () => {
  it.each([
    {name: 'a new one waits', nowMs: 0, expected: RoomDecision.WAIT},
    {
      name: 'one that can still be on time waits',
      nowMs: 2_500,
      expected: RoomDecision.WAIT,
    },
    {
      name: 'one that must start now is sent to an engine',
      nowMs: 2_900,
      expected: RoomDecision.SEND_ANYWAY,
    },
    {
      name: 'one that is late is sent while it can end in time',
      nowMs: 18_000,
      expected: RoomDecision.SEND_ANYWAY,
    },
    {
      name: 'one that can not end in time is refused',
      nowMs: 19_500,
      expected: RoomDecision.REFUSE,
    },
    {
      name: 'one that can still end after its expected wait waits',
      nowMs: 0,
      waitMs: 19_000,
      expected: RoomDecision.WAIT,
    },
    {
      name: 'one that can not end in time after its expected wait is refused',
      nowMs: 0,
      waitMs: 19_001,
      expected: RoomDecision.REFUSE,
    },
  ])('$name', ({nowMs, waitMs = 0, expected}) => {
    expect(decideRoom({request: REQUEST, waitMs, nowMs})).toBe(expected);
  });

  it('sends a long one while it can still end in time', () => {
    const request = {
      ...REQUEST,
      objectiveAtMs: 6_000,
      deadlineAtMs: 8_000,
      shortestMs: 5_000,
    };
    expect(decideRoom({request, waitMs: 0, nowMs: 2_900})).toBe(
      RoomDecision.SEND_ANYWAY,
    );
  });

  it('refuses at once what could never end in time', () => {
    const request = {...REQUEST, deadlineAtMs: 5_000};
    expect(decideRoom({request, waitMs: 0, nowMs: 0})).toBe(
      RoomDecision.REFUSE,
    );
  });
});
