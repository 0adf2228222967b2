import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  FairAdmission,
  TicketOutcome,
  WorkKind,
} from '../../../src/core/admission/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {PriorityClass} from '../../../src/core/config/index.js';
import {Executed, RefusalReason} from '../../../src/core/errors/index.js';
import type {Arrival} from './lib.js';
import {
  accountOf,
  AdmissionSimulation,
  evenArrivals,
  inTime,
  queryOf,
  serviceOf,
  flushPromises,
  STEP_MS,
  TICK_MS,
} from './lib.js';

const SEED = 20261204;
const SLOTS = 4;
const SERVICE_MS = 200;

/** Requests per second that the slots can serve. */
const CAPACITY = (SLOTS * 1_000) / SERVICE_MS;

const arrivalArb = fc.record({
  account: fc.constantFrom('a', 'b', 'c'),
  weight: fc.constant(1),
  atMs: fc.integer({min: 0, max: 2_000}),
  serviceMs: fc.constant(SERVICE_MS),
  deadlineMs: fc.integer({min: 100, max: 2_000}),
});

function createAdmission(slots: number, resumeSlots = 0, liveEntries = 1) {
  const clock = new ManualClock();
  const admission = new FairAdmission({clock, random: new SeededRandom(1)});
  const resize = (newSlots: number): void => {
    const services = [{service: 'drafts', slots: newSlots, resumeSlots}];
    admission.resize({liveEntries, services});
  };
  resize(slots);
  return {clock, admission, resize};
}

describe('FairAdmission with any arrivals', () => {
  it('fills its slots, never exceeds them, and ends or refuses each request', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(arrivalArb, {maxLength: 120}),
        async (arrivals: Arrival[]) => {
          const simulation = new AdmissionSimulation({slots: SLOTS});
          const {admission, clock} = simulation;
          const check = (): void => {
            const running = admission.countRunning('drafts');
            expect(running).toBeLessThanOrEqual(SLOTS);
            if (admission.waiting > 0) expect(running).toBe(SLOTS);
          };
          await simulation.play({arrivals, untilMs: 6_000, check});
          expect(clock.now()).toBeGreaterThanOrEqual(6_000);
          for (const {startedAtMs, endedAtMs, refusal} of arrivals) {
            // A request either ran and ended, or was refused without running.
            expect(endedAtMs !== undefined).toBe(startedAtMs !== undefined);
            expect(refusal === undefined).toBe(startedAtMs !== undefined);
            if (refusal !== undefined) expect(refusal.ran).toBe(Executed.NO);
          }
        },
      ),
      {seed: SEED, numRuns: 40},
    );
  });

  it('refuses in time and does not start requests that would miss their deadline', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(arrivalArb, {minLength: 30, maxLength: 120}),
        async (arrivals: Arrival[]) => {
          const simulation = new AdmissionSimulation({slots: SLOTS});
          // These requests provide samples of the service time.
          const warmUp = evenArrivals({
            account: 'w',
            perSecond: CAPACITY,
            seconds: 1,
            serviceMs: SERVICE_MS,
            deadlineMs: 10_000,
          });
          const later = arrivals.map((a) => ({...a, atMs: a.atMs + 2_000}));
          await simulation.play({
            arrivals: [...warmUp, ...later],
            untilMs: 8_000,
          });
          for (const arrival of later) {
            const latestStartMs =
              arrival.atMs + arrival.deadlineMs - SERVICE_MS;
            const {refusedAtMs, startedAtMs} = arrival;
            const latestRefusalMs =
              Math.max(arrival.atMs, latestStartMs + TICK_MS) + STEP_MS;
            if (refusedAtMs !== undefined) {
              expect(refusedAtMs).toBeLessThanOrEqual(latestRefusalMs);
            }
            if (startedAtMs !== undefined) {
              expect(startedAtMs).toBeLessThanOrEqual(latestStartMs + STEP_MS);
            }
          }
        },
      ),
      {seed: SEED, numRuns: 40},
    );
  });
});

describe('FairAdmission under contention', () => {
  it.each([
    {name: 'equal weights', weights: [1, 1, 1, 1]},
    {name: 'a large account', weights: [1, 1, 1, 5]},
  ])('shares by weight: $name', async ({weights}) => {
    const total = weights.reduce((a, b) => a + b, 0);
    const simulation = new AdmissionSimulation({slots: SLOTS});
    const ofAccounts = weights.map((weight, i) =>
      evenArrivals({
        account: `account-${i}`,
        weight,
        perSecond: CAPACITY,
        seconds: 20,
        serviceMs: SERVICE_MS,
        deadlineMs: 3_000,
      }),
    );
    await simulation.play({arrivals: ofAccounts.flat(), untilMs: 24_000});
    const served = ofAccounts.map((arrivals) => inTime(arrivals).length);
    const all = served.reduce((a, b) => a + b, 0);
    served.forEach((count, i) => {
      const share = weights[i]! / total;
      expect(count / all).toBeGreaterThan(0.9 * share);
      expect(count / all).toBeLessThan(1.1 * share);
    });
  });

  it('starves no account when one sends ten times its share', async () => {
    const simulation = new AdmissionSimulation({slots: SLOTS});
    const share = CAPACITY / 4;
    const send = (account: string, perSecond: number): Arrival[] =>
      evenArrivals({
        account,
        perSecond,
        seconds: 20,
        serviceMs: SERVICE_MS,
        deadlineMs: 3_000,
      });
    const small = ['b', 'c', 'd'].map((account) => send(account, share));
    const large = send('a', 10 * share);
    await simulation.play({
      arrivals: [...small.flat(), ...large],
      untilMs: 24_000,
    });
    for (const arrivals of small) {
      expect(inTime(arrivals).length / arrivals.length).toBeGreaterThan(0.95);
    }
    const maxServed = CAPACITY * 20;
    const served = inTime([...small.flat(), ...large]).length;
    expect(served / maxServed).toBeGreaterThan(0.95);
  });

  it('serves in time at 3 times capacity, unlike a FIFO queue', async () => {
    const arrivals = evenArrivals({
      account: 'a',
      perSecond: 3 * CAPACITY,
      seconds: 20,
      serviceMs: SERVICE_MS,
      deadlineMs: 1_000,
    });
    const simulation = new AdmissionSimulation({slots: SLOTS});
    await simulation.play({arrivals, untilMs: 24_000});
    const maxServed = CAPACITY * 20;
    expect(inTime(arrivals).length / maxServed).toBeGreaterThan(0.95);
    expect(countInTimeByFifo(arrivals) / maxServed).toBeLessThan(0.2);
  });
});

/** Requests that an unbounded FIFO queue without deadlines serves in time. */
function countInTimeByFifo(arrivals: readonly Arrival[]): number {
  const freeAtMs = Array.from({length: SLOTS}, () => 0);
  let served = 0;
  for (const {atMs, serviceMs, deadlineMs} of arrivals) {
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
    const endMs = Math.max(atMs, freeAtMs[slot]!) + serviceMs;
    freeAtMs[slot] = endMs;
    if (endMs <= atMs + deadlineMs) served++;
  }
  return served;
}

describe('FairAdmission', () => {
  it('starts higher classes first, and resumed requests before new ones', async () => {
    const {admission} = createAdmission(1);
    const first = (await admission.admit(queryOf()))._unsafeUnwrap();
    const order: string[] = [];
    const admit = (
      name: string,
      priorityClass: PriorityClass,
      kind: WorkKind,
    ) =>
      void admission
        .admit(queryOf({service: serviceOf({priorityClass}), kind}))
        .map((ticket) => {
          order.push(name);
          ticket.release();
        });
    admit('low', PriorityClass.LOW, WorkKind.NEW);
    admit('normal', PriorityClass.NORMAL, WorkKind.NEW);
    admit('normal resume', PriorityClass.NORMAL, WorkKind.RESUME);
    admit('high', PriorityClass.HIGH, WorkKind.NEW);
    first.release();
    await flushPromises();
    await flushPromises();
    expect(order).toEqual(['high', 'normal resume', 'normal', 'low']);
  });

  it('reserves slots for resumed requests', async () => {
    const {admission} = createAdmission(10, 2);
    let started = 0;
    const admit = (kind: WorkKind): void =>
      void admission.admit(queryOf({kind})).map(() => started++);
    for (let i = 0; i < 20; i++) admit(WorkKind.NEW);
    await flushPromises();
    expect(started).toBe(8);
    for (let i = 0; i < 20; i++) admit(WorkKind.RESUME);
    await flushPromises();
    expect(started).toBe(10);
    for (let i = 0; i < 3; i++) admit(WorkKind.RUNNING);
    await flushPromises();
    expect(started).toBe(13);
  });

  it('splits the limit of an account between live entries for new requests only', async () => {
    const {admission} = createAdmission(100, 0, 3);
    const clientAccount = accountOf({maxConcurrent: 9});
    const admit = (kind: WorkKind) =>
      admission.admit(queryOf({clientAccount, kind}));
    for (let i = 0; i < 3; i++) {
      expect((await admit(WorkKind.NEW)).isOk()).toBe(true);
    }
    const refusal = (await admit(WorkKind.NEW))._unsafeUnwrapErr();
    expect(refusal.reason).toBe(RefusalReason.ACCOUNT_LIMIT);
    expect(refusal.retryAfterMs).toBeGreaterThan(0);
    expect((await admit(WorkKind.RUNNING)).isOk()).toBe(true);
  });

  it('bounds the queue and evicts from the account with most waiting requests', async () => {
    const {admission} = createAdmission(1);
    const limits = {
      bodyBytes: 1,
      bodyTimeoutMs: 1,
      maxTokens: 1,
      queueLength: 4,
    };
    admission.configure({
      deployment: 'd',
      recovery: {weigh: 'latency' as never},
      services: [],
      clientAccounts: [],
      limits,
    });
    const refused: string[] = [];
    const admit = (name: string): void =>
      void admission
        .admit(queryOf({clientAccount: accountOf({name})}))
        .mapErr(({reason}) => refused.push(`${name} ${reason}`));
    for (let i = 0; i < 6; i++) admit('greedy');
    await flushPromises();
    expect(admission.waiting).toBe(4);
    expect(refused).toEqual(['greedy overloaded']);
    admit('modest');
    await flushPromises();
    expect(admission.waiting).toBe(4);
    expect(refused).toEqual(['greedy overloaded', 'greedy overloaded']);
  });

  it('removes the request of a caller that disconnects from the queue', async () => {
    const {admission} = createAdmission(1);
    await admission.admit(queryOf());
    const controller = new AbortController();
    const waiting = admission.admit(queryOf({signal: controller.signal}));
    await flushPromises();
    expect(admission.waiting).toBe(1);
    controller.abort();
    const refusal = (await waiting)._unsafeUnwrapErr();
    expect(refusal.reason).toBe(RefusalReason.CALLER_GONE);
    expect(admission.waiting).toBe(0);
  });

  it('refuses waiting requests when there was no target for a long time', async () => {
    const {admission, clock, resize} = createAdmission(0);
    const waiting = admission.admit(queryOf());
    clock.advance(1_000);
    resize(0);
    expect(admission.waiting).toBe(1);
    clock.advance(10_000);
    resize(0);
    const refusal = (await waiting)._unsafeUnwrapErr();
    expect(refusal.reason).toBe(RefusalReason.NO_TARGET);
    expect(refusal.ran).toBe(Executed.NO);
  });

  it('spreads the retries of refused callers at the drain rate', async () => {
    const {admission, clock} = createAdmission(1);
    const admit = (deadlineMs: number) =>
      admission.admit(queryOf({deadlineAtMs: clock.now() + deadlineMs}));
    const first = (await admit(10_000))._unsafeUnwrap();
    clock.advance(1_000);
    first.release(TicketOutcome.SERVED);
    await admit(10_000);
    const retryAfters: number[] = [];
    for (let i = 0; i < 10; i++) {
      const refusal = (await admit(1_500))._unsafeUnwrapErr();
      expect(refusal.reason).toBe(RefusalReason.DEADLINE_UNREACHABLE);
      retryAfters.push(refusal.retryAfterMs!);
    }
    // One request per second leaves the queue, so the retries of ten callers
    // are spread over about ten seconds.
    expect(Math.max(...retryAfters)).toBeGreaterThan(7_000);
    expect(new Set(retryAfters).size).toBe(10);
  });
});
