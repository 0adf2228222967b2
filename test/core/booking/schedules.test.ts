/** Random schedules over the real decision code of entries and agents. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {
  BookingState,
  StepContext,
} from '../../../src/core/booking/index.js';
import {decideCall, stepBooking} from '../../../src/core/booking/index.js';
import {Executed} from '../../../src/core/errors/index.js';
import {KeyPhase} from '../../../src/core/protocol/index.js';
import {outerFaults} from './lib/behaviour.js';
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
/** Of so many picks one is a fault of the store or of an entry, */
const SHARES = 16;
/** and so many let something arrive. */
const ARRIVAL_SHARES = 11;

const LIMITS = {agents: 2, requests: 4, bodies: ['a', 'a', 'b'], restarts: 2};

function choicesOf(
  simulator: Simulator,
  world: World,
  share: number,
): Action[] {
  if (share === 0) return outerFaults(world);
  return share <= ARRIVAL_SHARES
    ? simulator.arrivals(world)
    : simulator.actions(world);
}

/** Runs one schedule and everything that it leaves under way. */
function run(picks: readonly number[], decisions: Decisions): World {
  const world = createWorld(LIMITS);
  const simulator = new Simulator(LIMITS, decisions);
  for (const pick of picks) {
    const actions = choicesOf(simulator, world, pick % SHARES);
    if (actions.length === 0) continue;
    const at = Math.floor(pick / SHARES) % actions.length;
    actions[at]!.run(world);
  }
  simulator.drain(world);
  return world;
}

function search(decisions: Decisions, numRuns: number, seen?: Set<Executed>) {
  const schedule = fc.array(fc.nat(MAX_PICK), {
    minLength: 4,
    maxLength: MAX_STEPS,
    size: 'max',
  });
  const property = fc.property(schedule, (picks) => {
    const world = run(picks, decisions);
    for (const {told} of world.requests) {
      if (told !== undefined) seen?.add(told);
    }
    const violation = findViolation(world);
    if (violation !== undefined) throw new Error(violation);
  });
  return fc.check(property, {seed: SEED, numRuns});
}

/** Each takes one safeguard out of the decision code. */
const PLANTED: ReadonlyArray<{name: string; decisions: Partial<Decisions>}> = [
  {
    name: 'an agent admits a key twice',
    decisions: {
      decideCall: (question) => decideCall({...question, known: undefined}),
    },
  },
  {
    name: 'a new incarnation admits old claims',
    decisions: {
      decideCall: (question) =>
        decideCall({...question, ownIncarnation: question.incarnation}),
    },
  },
  {
    name: 'an entry that took a claim over voids it without a promise',
    decisions: {
      stepBooking: (state: BookingState, event, context: StepContext) =>
        stepBooking({...state, soleSender: true}, event, context),
    },
  },
  {
    name: 'an agent forgets its promise',
    decisions: {
      decideCall: (question) =>
        question.known?.phase === KeyPhase.PROMISED_NEVER
          ? decideCall({...question, known: undefined})
          : decideCall(question),
    },
  },
  {
    name: 'every caller is believed to use its key for the first time',
    decisions: {
      stepBooking: (state: BookingState, event, context: StepContext) =>
        stepBooking({...state, firstUse: true}, event, context),
    },
  },
];

describe('schedules of entries, agents, store and network', () => {
  it(`holds over ${SCHEDULES} schedules, seed ${SEED}`, () => {
    const seen = new Set<Executed>();
    const result = search(REAL_DECISIONS, SCHEDULES, seen);
    expect(result.errorInstance, fc.defaultReportMessage(result)).toBeNull();
    expect([...seen].sort()).toEqual(
      [Executed.NO, Executed.UNKNOWN, Executed.YES].sort(),
    );
  });

  it.each(PLANTED)('finds the planted fault: $name', ({decisions}) => {
    const planted = {...REAL_DECISIONS, ...decisions};
    const {errorInstance} = search(planted, PLANTED_SCHEDULES);
    expect(String(errorInstance)).toMatch(/ran [0-9]+ times/);
  });
});
