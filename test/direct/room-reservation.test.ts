/** Tests what becomes of reservations, whatever engines answer. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import {ReserveFailure} from '../../src/core/edges/direct-target.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';
import {Target} from '../../src/core/targets/index.js';
import type {DirectContext, DirectWork} from '../../src/direct/context.js';
import {GenerationRooms, RoomReservation} from '../../src/direct/room/index.js';
import {waitFor} from '../support/direct-site.js';

const HOLD_MS = 2_000;
const TOKENS = 6_500;

/** Longer than a stream waits for the answer of an engine. */
const LATE_MS = 200;

type Answer = ResultAsync<string, ReserveFailure>;

/** Answers reservations as told. */
class FakeTargets {
  answer: Answer = okAsync('r-1');
  asked = 0;
  readonly released: string[] = [];

  reserve(): Answer {
    this.asked++;
    return this.answer;
  }

  releaseReservation({id}: {id: string}) {
    this.released.push(id);
    return okAsync(undefined);
  }
}

describe('RoomReservation', () => {
  let client: FakeTargets;
  let target: Target;

  let clock: ManualClock;

  function create(holdMs?: number): RoomReservation {
    clock = new ManualClock();
    const metrics = new Metrics();
    const logger = SILENT_LOGGER;
    const random = new SeededRandom(1);
    const supervisor = new Supervisor({clock, metrics, logger});
    const room = new GenerationRooms({clock, random, metrics, supervisor});
    client = new FakeTargets();
    target = new Target({
      clock,
      record: {
        id: 'i-1',
        service: 's',
        address: '127.0.0.1:1',
        dataCentre: 'a',
        slots: 64,
        isDraining: false,
      },
    });
    const ctx = {client, clock, metrics, logger, supervisor, room};
    const work = {
      req: {attemptId: 'try-1'},
      service: {name: 's', engine: {kvCapacityTokens: 55_000, holdMs}},
      admitted: {route: {priority: 0}, table: {topPriorityOf: () => 0}},
    };
    return new RoomReservation({
      ctx: ctx as unknown as DirectContext,
      work: work as unknown as DirectWork,
      tokens: TOKENS,
    });
  }

  beforeEach(() => void create());

  it.each([
    {
      name: 'granted',
      answer: okAsync('r-1'),
      expected: {hasRoom: true, id: 'r-1', isFull: false, isPaused: false},
    },
    {
      name: 'refused for want of room',
      answer: errAsync(ReserveFailure.FULL),
      expected: {hasRoom: false, id: undefined, isFull: true, isPaused: false},
    },
    {
      name: 'not answered',
      answer: errAsync(ReserveFailure.NO_RESPONSE),
      expected: {hasRoom: false, id: undefined, isFull: false, isPaused: false},
    },
    {
      name: 'lost with a kept connection',
      answer: errAsync(ReserveFailure.CONNECTION_LOST),
      expected: {hasRoom: false, id: undefined, isFull: false, isPaused: false},
    },
    {
      name: 'unknown to the engine',
      answer: errAsync(ReserveFailure.UNSUPPORTED),
      expected: {hasRoom: true, id: undefined, isFull: false, isPaused: false},
    },
  ])('is $name', async ({answer, expected}) => {
    const reservation = create(HOLD_MS);
    client.answer = answer as Answer;
    const hasRoom = await reservation.take(target);
    const {id} = reservation;
    const [isFull, isPaused] = [target.isFull(), target.isPaused()];
    expect({hasRoom, id, isFull, isPaused}).toEqual(expected);
  });

  it('is not asked for if engines make none', async () => {
    expect(await create().take(target)).toBe(true);
    expect(client.asked).toBe(0);
  });

  it.each([
    {
      name: 'the stream ends before it is sent',
      end: (r: RoomReservation) => r.close(),
      released: ['r-1'],
    },
    {
      name: 'another engine is asked',
      end: (r: RoomReservation) => void r.take(target),
      released: ['r-1'],
    },
    {
      name: 'the request did not reach its engine',
      end: (r: RoomReservation) => r.release(),
      released: ['r-1'],
    },
    {
      name: 'the request has used it',
      end: (r: RoomReservation) => {
        r.forget();
        r.close();
      },
      released: [],
    },
  ])('is freed or kept: $name', async ({end, released}) => {
    const reservation = create(HOLD_MS);
    await reservation.take(target);
    end(reservation);
    expect(client.released).toEqual(released);
  });

  it('is freed if the stream ended while the engine answered', async () => {
    const reservation = create(HOLD_MS);
    let grant: (id: string) => void = () => undefined;
    const granted = new Promise<string>((resolve) => (grant = resolve));
    client.answer = ResultAsync.fromSafePromise(granted);
    const taken = reservation.take(target);
    reservation.close();
    grant('r-1');
    await taken;
    expect(client.released).toEqual(['r-1']);
  });

  /** An engine that answers when told. */
  function createLate() {
    const reservation = create(HOLD_MS);
    let answer: (id: string) => void = () => undefined;
    let fail: () => void = () => undefined;
    const granted = new Promise<string>((resolve, reject) => {
      answer = resolve;
      fail = () => reject(new Error('no response'));
    });
    const noResponse = () => ReserveFailure.NO_RESPONSE;
    client.answer = ResultAsync.fromPromise(granted, noResponse);
    return {reservation, answer, fail};
  }

  // Guards against room that nobody uses until `hold_ms` is over.
  it('is freed if an engine grants it later than the stream waits', async () => {
    const {reservation, answer} = createLate();
    const taken = reservation.take(target);
    clock.advance(LATE_MS);
    expect(await taken).toBe(false);
    expect(reservation.id).toBeUndefined();
    expect(client.released).toEqual([]);
    answer('r-late');
    await waitFor(() => client.released.length > 0);
    expect(client.released).toEqual(['r-late']);
    expect(reservation.id).toBeUndefined();
  });

  it('of another engine is kept when one is granted late', async () => {
    const {reservation, answer} = createLate();
    const taken = reservation.take(target);
    clock.advance(LATE_MS);
    expect(await taken).toBe(false);
    client.answer = okAsync('r-2');
    expect(await reservation.take(target)).toBe(true);
    answer('r-late');
    await waitFor(() => client.released.length > 0);
    expect(client.released).toEqual(['r-late']);
    expect(reservation.id).toBe('r-2');
  });

  it('counts as not answered once if the answer fails late', async () => {
    const {reservation, fail} = createLate();
    const taken = reservation.take(target);
    clock.advance(LATE_MS);
    expect(await taken).toBe(false);
    fail();
    await Promise.resolve();
    expect(reservation.id).toBeUndefined();
    expect(client.released).toEqual([]);
  });
});
