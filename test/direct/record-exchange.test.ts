/** What a failed exchange changes at its target. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {ExchangeFailure} from '../../src/core/edges/direct-target.js';
import {Target} from '../../src/core/targets/index.js';
import {
  recordOutcome,
  recordTargetFailure,
} from '../../src/direct/record-exchange.js';

const RECORD = {
  id: 'i-1',
  service: 'desk',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  slots: 4,
  isDraining: false,
};

/** More than pause a target. */
const FAILURES = 10;

describe('a target whose exchanges end', () => {
  it.each([
    {failure: ExchangeFailure.HELD_BACK, isFull: false, isPaused: false},
    {failure: ExchangeFailure.NO_MEMORY, isFull: false, isPaused: false},
    {failure: ExchangeFailure.REJECTED, isFull: true, isPaused: false},
    {failure: ExchangeFailure.NOT_SENT, isFull: false, isPaused: true},
    {failure: ExchangeFailure.WRONG_TARGET, isFull: false, isPaused: true},
    {failure: ExchangeFailure.BROKEN, isFull: false, isPaused: true},
  ])('with $failure: full $isFull, paused $isPaused', (row) => {
    const target = new Target({record: RECORD, clock: new ManualClock()});
    for (let i = 0; i < FAILURES; i++) recordTargetFailure(target, row.failure);
    expect(target.isFull()).toBe(row.isFull);
    expect(target.isPaused()).toBe(row.isPaused);
  });

  it.each([ExchangeFailure.HELD_BACK, ExchangeFailure.NO_MEMORY])(
    'keeps its failure share with %s',
    (failure) => {
      const target = new Target({record: RECORD, clock: new ManualClock()});
      recordOutcome(target, {failure: ExchangeFailure.BROKEN});
      const before = target.failureShare;
      recordOutcome(target, {failure});
      expect(before).toBeGreaterThan(0);
      expect(target.failureShare).toBe(before);
    },
  );
});
