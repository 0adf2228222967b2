/** What is counted of exchanges during a roll-out. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import type {ExchangeListener} from '../../src/core/edges/direct-target.js';
import {ExchangeFailure} from '../../src/core/edges/direct-target.js';
import type {CellCounts} from '../../src/core/rollouts/index.js';
import {CountedExchange} from '../../src/direct/rollouts/counted-exchange.js';
import {ExchangeTimer} from '../../src/direct/rollouts/exchange-timer.js';

const TARGET = {
  id: 'i-1',
  service: 'desk',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  slots: 4,
  isDraining: false,
};

const LISTENER: ExchangeListener = {
  onNotice: () => undefined,
  onHead: () => undefined,
  onData: () => undefined,
  onComplete: () => undefined,
  onFailure: () => undefined,
};

const STREAM_HEADERS = [{name: 'Content-Type', value: 'text/event-stream'}];

describe('an exchange during a roll-out', () => {
  let clock: ManualClock;
  let delays: {totalMs: number};
  let timer: ExchangeTimer;
  let counted: CellCounts[];
  let reached: number;
  let over: number;
  let heldBack: number;

  beforeEach(() => {
    clock = new ManualClock();
    timer = new ExchangeTimer();
    delays = {totalMs: 0};
    counted = [];
    reached = 0;
    over = 0;
    heldBack = 0;
  });

  const start = (options: {isNew?: boolean; isWarmingUp?: boolean} = {}) => {
    const {isNew = true, isWarmingUp} = options;
    return new CountedExchange({
      target: {...TARGET, isWarmingUp},
      route: '/a',
      isNew,
      listener: LISTENER,
      timer,
      delays,
      clock,
      recorder: {
        onReached: () => reached++,
        onHeldBack: () => heldBack++,
        onCounted: (counts) => counted.push(counts),
        onOver: () => over++,
      },
    });
  };

  const head = (status: number, headers = STREAM_HEADERS.slice(1)) => ({
    status,
    headers,
    isSelfDelimited: true,
  });

  const call = (ms: number, options: {isNew?: boolean} = {}, status = 200) => {
    const exchange = start(options);
    clock.advance(ms);
    exchange.onHead(head(status));
    exchange.onComplete();
  };

  const stream = (gapMs: number, events: number, isNew: boolean) => {
    const exchange = start({isNew});
    clock.advance(50);
    exchange.onHead(head(200, STREAM_HEADERS));
    for (let i = 0; i < events; i++) {
      clock.advance(gapMs);
      exchange.onData(Buffer.alloc(100));
    }
    return exchange;
  };

  const last = () => counted.at(-1);

  it.each([
    {status: 200, failures: 0},
    {status: 404, failures: 0},
    {status: 500, failures: 1},
  ])('with status $status has $failures failures', ({status, failures}) => {
    call(10, {}, status);
    expect(last()).toMatchObject({answers: 1, failures});
    expect({reached, over}).toEqual({reached: 1, over: 1});
  });

  it.each([
    {failure: ExchangeFailure.NOT_SENT, lost: 0},
    {failure: ExchangeFailure.HELD_BACK, lost: 0},
    {failure: ExchangeFailure.REJECTED, lost: 0},
    {failure: ExchangeFailure.WRONG_TARGET, lost: 0},
    {failure: ExchangeFailure.BROKEN, lost: 1},
    {failure: ExchangeFailure.MISMATCHED_RESPONSE, lost: 1},
  ])('that ends with $failure is lost $lost times', ({failure, lost}) => {
    start().onFailure(failure, '');
    expect(counted.reduce((sum, c) => sum + c.lost, 0)).toBe(lost);
    expect({reached, over}).toEqual({reached: lost, over: 1});
    const isHeldBack = failure === ExchangeFailure.HELD_BACK;
    expect(heldBack).toBe(isHeldBack ? 1 : 0);
  });

  it.each([
    {ms: 30, slow: 0},
    {ms: 200, slow: 1},
  ])('of $ms ms beside 20 ms of the old is slow $slow times', ({ms, slow}) => {
    for (let i = 0; i < 20; i++) call(20, {isNew: false});
    call(ms);
    expect(last()).toMatchObject({timed: 1, slow});
  });

  it.each([
    {ms: 200, delayedMs: 170, slow: 0},
    {ms: 200, delayedMs: 20, slow: 1},
  ])(
    'of $ms ms, $delayedMs of them not read, is slow $slow times',
    ({ms, delayedMs, slow}) => {
      for (let i = 0; i < 20; i++) call(20, {isNew: false});
      const exchange = start();
      clock.advance(ms);
      delays.totalMs += delayedMs;
      exchange.onHead(head(200));
      exchange.onComplete();
      expect(last()).toMatchObject({timed: 1, slow});
    },
  );

  it('is not compared while its target has just started', () => {
    for (let i = 0; i < 20; i++) call(20, {isNew: false});
    const exchange = start({isWarmingUp: true});
    clock.advance(200);
    exchange.onHead(head(200));
    exchange.onComplete();
    expect(last()).toMatchObject({timed: 0, slow: 0, answers: 1});
  });

  it.each([
    {gapMs: 50, slow: 0},
    {gapMs: 250, slow: 1},
  ])('counts a stream before its end: $gapMs ms', ({gapMs, slow}) => {
    for (let i = 0; i < 20; i++) stream(40, 30, false).onComplete();
    const before = counted.length;
    const exchange = stream(gapMs, 20, true);
    expect(counted.length).toBe(before + 1);
    expect(last()).toMatchObject({answers: 1, timed: 1, slow});
    exchange.onComplete();
    expect(counted.length).toBe(before + 1);
  });

  it('given up after far too long counts as slow', () => {
    for (let i = 0; i < 20; i++) call(20, {isNew: false});
    const none = {
      cancel: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
    };
    const exchange = start();
    const owned = exchange.wrap(none);
    clock.advance(500);
    owned.cancel();
    expect(last()).toMatchObject({timed: 1, slow: 1});
    const before = counted.length;
    start().wrap(none).cancel();
    expect(counted.length).toBe(before);
    expect(over).toBe(22);
  });
});
