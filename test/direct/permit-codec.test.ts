import {describe, expect, it} from 'vitest';

import {PermitNeed} from '../../src/core/limits/index.js';
import {MessageType} from '../../src/core/protocol/index.js';
import {toPermitAnswer, toPermitQuery} from '../../src/direct/limits/index.js';

const NOW_MS = 1_000_000;
const MAX_WAIT_MS = 30_000;

const NEVER = {heardAtMs: Number.NEGATIVE_INFINITY};

describe('a permit message of another entry', () => {
  it.each([
    {perSecond: Number.NaN, heardAgoMs: 5, limit: NEVER},
    {perSecond: Number.POSITIVE_INFINITY, heardAgoMs: 5, limit: NEVER},
    {perSecond: -1, heardAgoMs: 5, limit: NEVER},
    {
      perSecond: 2.6,
      heardAgoMs: -50,
      limit: {perSecond: 2.6, heardAtMs: NOW_MS},
    },
    {
      perSecond: undefined,
      heardAgoMs: 10,
      limit: {perSecond: undefined, heardAtMs: NOW_MS - 10},
    },
  ])('tells a limit of $perSecond, $heardAgoMs ms old', (row) => {
    const {perSecond, heardAgoMs, limit} = row;
    const query = toPermitQuery(
      {
        type: MessageType.ASK_PERMIT,
        askId: 1,
        target: 'i-1@1',
        perSecond,
        heardAgoMs,
        need: PermitNeed.REQUIRED,
        priority: 0,
        clientAccount: 'a',
      },
      NOW_MS,
    );
    expect(query.limit).toEqual(limit);
  });

  it.each([
    {told: Number.NaN, retryAfterMs: MAX_WAIT_MS},
    {told: Number.POSITIVE_INFINITY, retryAfterMs: MAX_WAIT_MS},
    {told: -1, retryAfterMs: 0},
    {told: 400, retryAfterMs: 400},
  ])('tells a wait of $told ms', ({told, retryAfterMs}) => {
    const answer = toPermitAnswer(
      {
        type: MessageType.PERMIT,
        askId: 1,
        isGranted: false,
        retryAfterMs: told,
        perSecond: undefined,
        heardAgoMs: 0,
      },
      NOW_MS,
    );
    expect(answer.retryAfterMs).toBe(retryAfterMs);
  });
});
