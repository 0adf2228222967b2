/**
 * Explores every interleaving of two entries and one agent that may restart,
 * for one key: claims, lost and delayed writes and calls, voids, executions
 * and replies. Guards against verdicts that contradict the executions.
 */
import {expect, it} from 'vitest';

import {Executed} from '../../../src/core/errors/index.js';
import {findViolation} from './lib/check-world.js';
import {Simulator} from './lib/simulator.js';
import type {World, WorldLimits} from './lib/world.js';
import {createWorld} from './lib/world.js';

/** Maximum faults and delays in one interleaving, of any kind and order. */
const MAX_FAULTS = 2;
const MAX_STATES = 400_000;

/** Names of the actions that are not faults or delays. */
const ORDINARY =
  /^(start|write$|call$|query$|reply$|look up|executes$|record|late (write|call))/;

/** A state and the number of faults on the way to it. */
interface Node {
  readonly world: World;
  readonly faults: number;
}

/** Result of exploring all states. */
interface Exploration {
  /** Number of distinct states. */
  readonly states: number;
  readonly violation?: string;
  /** All verdicts that callers got. */
  readonly reported: ReadonlySet<Executed>;
}

/** Visits each reachable state once. */
function explore(limits: WorldLimits): Exploration {
  const simulator = new Simulator(limits);
  const seen = new Set<string>();
  const reported = new Set<Executed>();
  const unexplored = [keyOf({world: createWorld(limits), faults: 0})];
  while (unexplored.length > 0) {
    for (const node of findSuccessors(simulator, unexplored.pop()!)) {
      const violation = findViolation(node.world);
      if (violation !== undefined)
        return {states: seen.size, violation, reported};
      const key = keyOf(node);
      if (seen.has(key)) continue;
      seen.add(key);
      if (seen.size > MAX_STATES) throw new Error('too many states');
      for (const request of node.world.requests) {
        if (request.verdict !== undefined) reported.add(request.verdict);
      }
      unexplored.push(key);
    }
  }
  return {states: seen.size, reported};
}

/** Returns the states that follow from an encoded state by one action. */
function findSuccessors(simulator: Simulator, key: string): Node[] {
  const parent = JSON.parse(key) as Node;
  const successors: Node[] = [];
  for (const action of simulator.actions(parent.world)) {
    // The first request starts at entry 0, the second one at entry 1.
    const otherEntry = `at ${1 - parent.world.requests.length}`;
    if (action.name.endsWith(otherEntry)) continue;
    const faults = parent.faults + (ORDINARY.test(action.name) ? 0 : 1);
    if (faults > MAX_FAULTS) continue;
    const {world} = JSON.parse(key) as Node;
    action.run(world);
    successors.push({world, faults});
  }
  return successors;
}

/**
 * Encodes a state. Worlds that differ only in the order of `inFlight` have the
 * same key.
 */
function keyOf({world, faults}: Node): string {
  const encoded = world.inFlight.map((item) => JSON.stringify(item)).sort();
  const sorted = encoded.map((item) => JSON.parse(item) as unknown);
  return JSON.stringify({world: {...world, inFlight: sorted}, faults});
}

it('no interleaving violates a guarantee', () => {
  const limits = {agents: 1, requests: 2, bodies: ['a'], restarts: 1};
  const exploration = explore(limits);
  expect(exploration.violation).toBeUndefined();
  expect([...exploration.reported].sort()).toEqual(
    [Executed.NO, Executed.UNKNOWN, Executed.YES].sort(),
  );
  expect(exploration.states).toBeGreaterThan(1_000);
});
