/** Plays a burst of plain calls on few targets and checks what callers get. */
import {describe, expect, it} from 'vitest';

import type {QueuedCall} from '../../../src/core/call-queue/index.js';
import {
  CallDecision,
  CallQueue,
  decideCall,
  estimateRoom,
} from '../../../src/core/call-queue/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {chooseCallTarget} from '../../../src/core/placing/index.js';
import {Target} from '../../../src/core/targets/index.js';

const SERVICE_MS = 35;
const SLOTS = 6;
/** Waiting requests above which a target rejects. */
const TARGET_QUEUE = 24;
const OBJECTIVE_MS = 150;
const DEADLINE_MS = 1_200;
/** One target works half as fast, so all end 2.5 x 6 calls in `SERVICE_MS`. */
const SLOWNESS = [1, 1, 2];
const CALLS_PER_MS = (2.5 * SLOTS) / SERVICE_MS;
const BURST_MS = 2_000;

const ROOM = {
  hasFreeSlot: false,
  waitMs: 0,
  serviceMs: SERVICE_MS,
  intervalMs: 2,
  isFull: false,
};

const CALL = {priority: 1, objectiveAtMs: 150, deadlineAtMs: 1_200};

describe('a plain call', () => {
  it.each([
    {name: 'a free slot', room: {hasFreeSlot: true}, is: CallDecision.SEND},
    {name: 'a short queue', room: {waitMs: 100}, is: CallDecision.SEND},
    {name: 'a long queue', room: {waitMs: 150}, is: CallDecision.WAIT},
    {name: 'full targets', room: {isFull: true}, is: CallDecision.WAIT},
    {
      name: 'a free slot, though calls took long before',
      room: {hasFreeSlot: true, serviceMs: 2_000},
      is: CallDecision.SEND,
    },
    {name: 'no hope', room: {waitMs: 1_200}, is: CallDecision.REFUSE},
    {
      name: 'a long queue for a while',
      room: {waitMs: 150},
      waitsSinceMs: -500,
      is: CallDecision.WAIT,
    },
    {
      name: 'a long queue for half of its time',
      room: {waitMs: 150},
      waitsSinceMs: -1_300,
      is: CallDecision.REFUSE,
    },
    {
      name: 'full targets for half of its time',
      room: {isFull: true},
      waitsSinceMs: -1_300,
      is: CallDecision.REFUSE,
    },
    {
      name: 'no connection, though the targets have room',
      room: {hasFreeSlot: true},
      isHeldBack: true,
      is: CallDecision.WAIT,
    },
    {
      name: 'no connection for half of its time',
      room: {hasFreeSlot: true},
      waitsSinceMs: -1_300,
      isHeldBack: true,
      is: CallDecision.WAIT,
    },
    {
      name: 'no connection until it is too late',
      room: {hasFreeSlot: true, serviceMs: 1_201},
      isHeldBack: true,
      is: CallDecision.REFUSE,
    },
  ])('that finds $name: $is', ({room, waitsSinceMs = 0, isHeldBack, is}) => {
    const query = {call: CALL, waitsSinceMs, nowMs: 0, isHeldBack};
    expect(decideCall({...query, room: {...ROOM, ...room}})).toBe(is);
  });
});

describe('waiting calls', () => {
  const play = (calls: readonly QueuedCall[], freed: number) => {
    let free = 0;
    const sent: QueuedCall[] = [];
    const roomOf = () => ({...ROOM, waitMs: 500, hasFreeSlot: free > 0});
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const queue = new CallQueue({clock, random, roomOf});
    for (const call of calls) {
      const onSend = () => {
        free--;
        sent.push(call);
      };
      queue.enter({call, onSend, onRefuse: () => undefined});
    }
    free = freed;
    queue.drain();
    return sent;
  };
  const urgent = {...CALL, priority: 0};
  const late = {...CALL, objectiveAtMs: 10};
  const early = {...CALL, objectiveAtMs: 100};
  const a1 = {...CALL, objectiveAtMs: 101, clientAccount: 'a'};
  const a2 = {...a1, objectiveAtMs: 102};
  const a0 = {...a2, priority: 0};
  const b1 = {...CALL, objectiveAtMs: 110, clientAccount: 'b'};
  const b2 = {...b1, objectiveAtMs: 111};
  const crowd = [a1, a2, {...a2, objectiveAtMs: 103}, b1, b2];

  it.each([
    {name: 'the urgent one', calls: [CALL, urgent], freed: 1, sent: [urgent]},
    {name: 'the earlier one', calls: [CALL, early], freed: 1, sent: [early]},
    {name: 'one on time', calls: [late, CALL], freed: 1, sent: [CALL]},
    {name: 'all', calls: [late, CALL], freed: 2, sent: [CALL, late]},
    {name: 'accounts in turn', calls: crowd, freed: 3, sent: [a1, b1, a2]},
    {name: 'the urgent', calls: [a1, b2, a0], freed: 2, sent: [a0, b2]},
  ])('leave in order: $name first', ({calls, freed, sent}) => {
    expect(play(calls, freed)).toEqual(sent);
  });

  it('are sent once, also if sending them drains the queue', () => {
    let hasFreeSlot = false;
    let sent = 0;
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: new SeededRandom(1),
      roomOf: () => ({...ROOM, waitMs: 500, hasFreeSlot}),
    });
    const onSend = () => {
      sent++;
      queue.drain();
    };
    for (let i = 0; i < 3; i++)
      queue.enter({call: {...CALL}, onSend, onRefuse: () => undefined});
    hasFreeSlot = true;
    queue.drain();
    expect([sent, queue.size]).toEqual([3, 0]);
  });

  it('for a connection let others pass only if these are small', () => {
    const sent: string[] = [];
    let bytesLeft = 0;
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: new SeededRandom(1),
      roomOf: () => ({...ROOM, hasFreeSlot: true}),
    });
    const enter = (name: string, bytes: number) =>
      queue.enter({
        call: {...CALL},
        held: {isLarge: bytes > 1, isHeldBack: () => bytes > bytesLeft},
        wasHeldBack: bytes > 1,
        onSend: () => sent.push(name),
        onRefuse: () => undefined,
      });
    enter('large', 9);
    bytesLeft = 4;
    enter('medium', 3);
    enter('small', 1);
    expect(sent).toEqual(['small']);
    bytesLeft = 9;
    queue.drain();
    expect(sent).toEqual(['small', 'large', 'medium']);
  });

  it('for a connection are refused with the time of their turn', () => {
    const clock = new ManualClock();
    const retries: number[] = [];
    const queue = new CallQueue({
      clock,
      random: {...new SeededRandom(1), float: () => 0} as SeededRandom,
      roomOf: () => ({...ROOM, hasFreeSlot: true}),
      hasConnection: () => false,
    });
    const onRefuse = (retryAfterMs: number) => retries.push(retryAfterMs);
    for (let i = 0; i < 3; i++)
      queue.enter({
        call: {...CALL},
        held: {isLarge: false, isHeldBack: () => true},
        wasHeldBack: true,
        onSend: () => undefined,
        onRefuse,
      });
    clock.advance(1_160);
    queue.drain();
    expect(retries).toHaveLength(0);
    clock.advance(40);
    queue.drain();
    expect(retries).toEqual([3_600, 4_800, 6_000]);
  });

  it('are refused with times at which they have a chance, one by one', () => {
    const retries: number[] = [];
    const queue = new CallQueue({
      clock: new ManualClock(),
      random: {...new SeededRandom(1), float: () => 0} as SeededRandom,
      roomOf: () => ({...ROOM, waitMs: 2_000}),
    });
    const onRefuse = (retryAfterMs: number) => retries.push(retryAfterMs);
    for (let i = 0; i < 3; i++)
      queue.enter({call: {...CALL}, onSend: () => undefined, onRefuse});
    expect(retries).toEqual([2_002, 2_004, 2_006]);
  });
});

/** What callers of a burst got. */
interface Outcome {
  readonly asked: number;
  readonly onTime: number;
  readonly rejected: number;
  readonly refused: number;
  readonly longestMs: number;
}

/** Plays twice what three targets, one of them slow, can do for a time. */
function playBurst(hasQueue: boolean): Outcome {
  const clock = new ManualClock();
  const random = new SeededRandom(3);
  const targets = SLOWNESS.map((slowness, index) => {
    const about = {id: `i-${index}`, address: `127.0.0.1:${index}`};
    const record = {...about, service: 's', dataCentre: 'a', slots: SLOTS};
    const target = new Target({clock, record: {...record, isDraining: false}});
    target.recordLoad({running: 0, waiting: 0, slots: SLOTS, slowness});
    return target;
  });
  const queues = targets.map(() => [] as Array<() => void>);
  const running = targets.map(() => 0);
  const outcome = {asked: 0, onTime: 0, rejected: 0, refused: 0, longestMs: 0};
  const roomOf = () => estimateRoom({targets, serviceMs: SERVICE_MS})!;
  const queue = new CallQueue({clock, random, roomOf});
  const send = (call: QueuedCall): void => {
    const query = {targets, dataCentre: 'a', excluded: new Set<string>()};
    const target = chooseCallTarget({...query, random})!;
    const index = targets.indexOf(target);
    if (running[index]! >= SLOTS && queues[index]!.length >= TARGET_QUEUE) {
      outcome.rejected++;
      target.recordRejected();
      return;
    }
    const work = target.begin({tokens: 0});
    const end = (): void => {
      target.end(work);
      running[index]!--;
      queues[index]!.shift()?.();
      const askedAtMs = call.objectiveAtMs - OBJECTIVE_MS;
      if (clock.now() <= call.objectiveAtMs) outcome.onTime++;
      outcome.longestMs = Math.max(outcome.longestMs, clock.now() - askedAtMs);
      target.recordLoad({
        running: running[index]!,
        waiting: queues[index]!.length,
        slots: SLOTS,
        slowness: SLOWNESS[index],
      });
      queue.drain();
    };
    const start = (): void => {
      running[index]!++;
      clock.schedule({delayMs: SERVICE_MS * SLOWNESS[index]!, run: end});
    };
    if (running[index]! < SLOTS) start();
    else queues[index]!.push(start);
  };
  const arrive = (): void => {
    outcome.asked++;
    const call = {
      priority: 1,
      objectiveAtMs: clock.now() + OBJECTIVE_MS,
      deadlineAtMs: clock.now() + DEADLINE_MS,
    };
    if (!hasQueue) send(call);
    else
      queue.enter({
        call,
        onSend: () => send(call),
        onRefuse: () => outcome.refused++,
      });
  };
  const periodMs = 1 / (2 * CALLS_PER_MS);
  const arrivals = clock.repeat({periodMs, run: arrive});
  const drains = clock.repeat({periodMs: 20, run: () => queue.drain()});
  clock.advance(BURST_MS);
  arrivals.cancel();
  clock.advance(DEADLINE_MS * 2);
  drains.cancel();
  return outcome;
}

describe('a burst of twice what the targets can do', () => {
  const before = playBurst(false);
  const queued = playBurst(true);

  it('answers three quarters of what the targets can do on time', () => {
    const possible = CALLS_PER_MS * BURST_MS;
    expect(queued.onTime).toBeGreaterThan(possible * 0.75);
    expect(before.onTime).toBeLessThan(possible * 0.75);
  });

  it('answers no fewer callers than without a queue', () => {
    const answered = ({asked, rejected, refused}: Outcome) =>
      asked - rejected - refused;
    expect(answered(queued)).toBeGreaterThanOrEqual(answered(before));
  });

  it('lets targets reject none', () => {
    expect([before.rejected > 0, queued.rejected]).toEqual([true, 0]);
  });

  it('holds no caller until its deadline', () => {
    expect(queued.longestMs).toBeLessThan(DEADLINE_MS);
  });
});
