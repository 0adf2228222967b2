/** Runs random schedules over the decision code of entries and agents. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {
  BookingState,
  StepContext,
} from '../../../src/core/booking/index.js';
import {decideCall, stepBooking} from '../../../src/core/booking/index.js';
import {Executed} from '../../../src/core/errors/index.js';
import {KeyPhase} from '../../../src/core/protocol/index.js';
import {storeAndEntryFaults} from './lib/behaviour.js';
import {findViolation} from './lib/check-world.js';
import type {Decisions} from './lib/simulator.js';
import {REAL_DECISIONS, Simulator} from './lib/simulator.js';
import type {Action, World} from './lib/world.js';
import {createWorld} from './lib/world.js';

const SEED = 20_261;
const SCHEDULES = 100_000;
const PLANTED_SCHEDULES = 20_000;
const MAX_STEPS = 48;
const MAX_PICK = 1 << 20;
/** One in this many picks is a fault of the store or of an entry. */
const PICK_CLASSES = 16;
/** This many in PICK_CLASSES picks concern an item in flight. */
const ARRIVAL_CLASSES = 11;

const LIMITS = {agents: 2, requests: 4, bodies: ['a', 'a', 'b'], restarts: 2};

/** Returns the actions from which a pick of this class chooses. */
function possibleActions(
  simulator: Simulator,
  world: World,
  pickClass: number,
): Action[] {
  if (pickClass === 0) return storeAndEntryFaults(world);
  return pickClass <= ARRIVAL_CLASSES
    ? simulator.arrivals(world)
    : simulator.actions(world);
}

/** Runs one schedule, then delivers everything that is still in flight. */
function runSchedule(picks: readonly number[], decisions: Decisions): World {
  const world = createWorld(LIMITS);
  const simulator = new Simulator(LIMITS, decisions);
  for (const pick of picks) {
    const actions = possibleActions(simulator, world, pick % PICK_CLASSES);
    if (actions.length === 0) continue;
    const index = Math.floor(pick / PICK_CLASSES) % actions.length;
    actions[index]!.run(world);
  }
  simulator.drain(world);
  return world;
}

/** Searches random schedules for one that violates a guarantee. */
function searchViolation(
  decisions: Decisions,
  numRuns: number,
  reported?: Set<Executed>,
) {
  const schedule = fc.array(fc.nat(MAX_PICK), {
    minLength: 4,
    maxLength: MAX_STEPS,
    size: 'max',
  });
  const property = fc.property(schedule, (picks) => {
    const world = runSchedule(picks, decisions);
    for (const {verdict: reportedVerdict} of world.requests) {
      if (reportedVerdict !== undefined) reported?.add(reportedVerdict);
    }
    const violation = findViolation(world);
    if (violation !== undefined) throw new Error(violation);
  });
  return fc.check(property, {seed: SEED, numRuns});
}

/** Each fault disables one safeguard of the decision code. */
const PLANTED: ReadonlyArray<{name: string; decisions: Partial<Decisions>}> = [
  {
    name: 'an agent admits a key twice',
    decisions: {
      decideCall: (context) => decideCall({...context, known: undefined}),
    },
  },
  {
    name: 'a new incarnation admits old claims',
    decisions: {
      decideCall: (context) =>
        decideCall({...context, ownIncarnation: context.incarnation}),
    },
  },
  {
    name: 'an entry that took over a claim voids it without a promise',
    decisions: {
      stepBooking: (state: BookingState, event, context: StepContext) =>
        stepBooking({...state, isSoleSender: true}, event, context),
    },
  },
  {
    name: 'an agent admits a key that it promised never to admit',
    decisions: {
      decideCall: (context) =>
        context.known?.phase === KeyPhase.PROMISED_NEVER
          ? decideCall({...context, known: undefined})
          : decideCall(context),
    },
  },
  {
    name: 'every key is assumed to be used for the first time',
    decisions: {
      stepBooking: (state: BookingState, event, context: StepContext) =>
        stepBooking({...state, isFirstUse: true}, event, context),
    },
  },
];

describe('schedules of entries, agents, store and network', () => {
  it(`violate no guarantee in ${SCHEDULES} runs, seed ${SEED}`, () => {
    const reported = new Set<Executed>();
    const result = searchViolation(REAL_DECISIONS, SCHEDULES, reported);
    expect(result.errorInstance, fc.defaultReportMessage(result)).toBeNull();
    expect([...reported].sort()).toEqual(
      [Executed.NO, Executed.UNKNOWN, Executed.YES].sort(),
    );
  });

  it.each(PLANTED)('detect the planted fault: $name', ({decisions}) => {
    const planted = {...REAL_DECISIONS, ...decisions};
    const {errorInstance} = searchViolation(planted, PLANTED_SCHEDULES);
    expect(String(errorInstance)).toMatch(/ran [0-9]+ times/);
  });
});
