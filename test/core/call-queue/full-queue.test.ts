/** Which call a full queue refuses, and what a queue would do with a call. */
import {describe, expect, it} from 'vitest';

import type {QueuedCall} from '../../../src/core/call-queue/index.js';
import {CallDecision, CallQueue} from '../../../src/core/call-queue/index.js';
import {MAX_WAITING} from '../../../src/core/call-queue/consts.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';

const SERVICE_MS = 35;
const DEADLINE_MS = 1_200;

const ROOM = {
  hasFreeSlot: false,
  waitMs: 0,
  serviceMs: SERVICE_MS,
  intervalMs: 2,
  isFull: false,
};

const CALL = {priority: 1, objectiveAtMs: 150, deadlineAtMs: DEADLINE_MS};

describe('a queue that is full', () => {
  const FILLED = {...CALL, objectiveAtMs: 500};

  /** The refused calls once `newcomer` enters among others that fill it. */
  const refusedBy = (newcomer: QueuedCall, other: QueuedCall) => {
    const refused: QueuedCall[] = [];
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: new SeededRandom(1),
      roomOf: () => ({...ROOM, waitMs: 600}),
    });
    const fill = Array.from({length: MAX_WAITING - 1}, () => ({...FILLED}));
    for (const call of [other, ...fill, newcomer])
      queue.enter({
        call,
        onSend: () => undefined,
        onRefuse: () => refused.push(call),
      });
    expect(queue.size).toBe(MAX_WAITING);
    return refused;
  };

  const urgent = {...FILLED, priority: 0};
  const lesser = {...FILLED, priority: 2, objectiveAtMs: 100};
  const late = {...FILLED, objectiveAtMs: 10};
  const later = {...FILLED, objectiveAtMs: 600};
  const urgentAndLate = {...late, priority: 0};

  it.each([
    {name: 'one less urgent', newcomer: urgent, other: lesser, is: 'other'},
    {
      name: 'a newcomer that is',
      newcomer: lesser,
      other: urgent,
      is: 'newcomer',
    },
    {name: 'one that is late', newcomer: {...FILLED}, other: late, is: 'other'},
    {
      name: 'a late newcomer',
      newcomer: late,
      other: {...FILLED},
      is: 'newcomer',
    },
    {
      name: 'a later objective',
      newcomer: {...FILLED},
      other: later,
      is: 'other',
    },
    {name: 'a later newcomer', newcomer: later, other: late, is: 'other'},
    {
      name: 'the newest of equals',
      newcomer: FILLED,
      other: FILLED,
      is: 'newcomer',
    },
    {
      name: 'one less urgent, also before one late',
      newcomer: urgentAndLate,
      other: lesser,
      is: 'other',
    },
  ])('refuses $name', ({newcomer, other, is}) => {
    const refused = refusedBy(newcomer, other);
    expect(refused).toHaveLength(1);
    expect(refused[0]).toBe(is === 'other' ? other : newcomer);
  });
});

describe('a burst that fills the queue', () => {
  const ASKED = 1_000;
  const URGENT_EVERY = 10;
  const PERIOD_MS = 0.5;
  const FREED_EVERY_MS = 4;

  /** Plays a burst of which one call in ten is urgent; one slot frees at a time. */
  const play = () => {
    const clock = new ManualClock();
    let free = 0;
    const roomOf = () => ({...ROOM, waitMs: 100, hasFreeSlot: free > 0});
    const random = new SeededRandom(1);
    const queue = new CallQueue({clock, random, roomOf});
    const got = {
      urgent: {asked: 0, onTime: 0, refused: 0},
      other: {asked: 0, onTime: 0, refused: 0},
      full: false,
    };
    const freeing = clock.repeat({
      periodMs: FREED_EVERY_MS,
      run: () => {
        free = 1;
        queue.drain();
      },
    });
    for (let i = 0; i < ASKED; i++) {
      const isUrgent = i % URGENT_EVERY === 0;
      const counts = isUrgent ? got.urgent : got.other;
      counts.asked++;
      const objectiveAtMs = clock.now() + 130;
      queue.enter({
        call: {
          priority: isUrgent ? 0 : 1,
          objectiveAtMs,
          deadlineAtMs: clock.now() + DEADLINE_MS,
        },
        onSend: () => {
          free--;
          if (clock.now() + SERVICE_MS <= objectiveAtMs) counts.onTime++;
        },
        onRefuse: () => counts.refused++,
      });
      got.full ||= queue.size === MAX_WAITING;
      clock.advance(PERIOD_MS);
    }
    clock.advance(DEADLINE_MS);
    freeing.cancel();
    return got;
  };

  it('refuses no urgent call while less urgent ones wait', () => {
    const {urgent, other, full} = play();
    expect(full).toBe(true);
    expect(urgent.refused).toBe(0);
    expect(urgent.onTime).toBe(urgent.asked);
    expect(other.refused).toBeGreaterThan(0);
  });
});

describe('the preview of a call', () => {
  const urgent = {...CALL, priority: 0};
  const hopeless = {...CALL, deadlineAtMs: 400};
  const late = {...CALL, objectiveAtMs: 10};

  it.each([
    {name: 'alone', waiting: [], call: CALL, before: 0},
    {name: 'after its like', waiting: [CALL, CALL], call: CALL, before: 2},
    {name: 'an urgent one', waiting: [CALL, late], call: urgent, before: 0},
    {name: 'a late one', waiting: [CALL, late], call: late, before: 2},
    {name: 'a hopeless one', waiting: [CALL], call: hopeless, before: 1},
    {
      name: 'one more than fit',
      waiting: Array.from({length: MAX_WAITING}, () => ({...CALL})),
      call: CALL,
      before: MAX_WAITING,
    },
    {
      name: 'an urgent one more than fit',
      waiting: Array.from({length: MAX_WAITING}, () => ({...CALL})),
      call: urgent,
      before: 0,
    },
  ])('tells what the queue then does: $name', ({waiting, call, before}) => {
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: {...new SeededRandom(1), float: () => 0} as SeededRandom,
      roomOf: () => ({...ROOM, waitMs: 500}),
    });
    const none = {onSend: () => undefined, onRefuse: () => undefined};
    for (const other of waiting) queue.enter({...none, call: {...other}});
    const preview = queue.preview(call);
    expect(queue.preview(call)).toEqual(preview);
    expect(queue.size).toBe(waiting.length);
    let got = CallDecision.WAIT;
    let retryAfterMs = preview.retryAfterMs;
    queue.enter({
      call,
      onSend: () => (got = CallDecision.SEND),
      onRefuse: (ms) => {
        got = CallDecision.REFUSE;
        retryAfterMs = ms;
      },
    });
    expect(preview).toMatchObject({decision: got, before, retryAfterMs});
  });

  it.each([
    {other: {...CALL, priority: 0}, is: CallDecision.WAIT},
    {other: CALL, is: CallDecision.SEND},
  ])('passes no more urgent one: $is', ({other, is}) => {
    let waitMs = 500;
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: new SeededRandom(1),
      roomOf: () => ({...ROOM, waitMs}),
    });
    const none = {onSend: () => undefined, onRefuse: () => undefined};
    queue.enter({...none, call: other});
    waitMs = 100;
    const later = {...CALL, objectiveAtMs: 200};
    expect(queue.preview(later).decision).toBe(is);
  });
});
