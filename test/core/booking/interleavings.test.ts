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

/** Actions that are not faults or delays. */
const ORDINARY =
  /^(start|write$|call$|ask$|reply$|look up|executes$|record|late (write|call))/;

/** A state and the number of faults on the way to it. */
interface Node {
  readonly world: World;
  readonly faults: number;
}

/** Result of exploring all states. */
interface Exploration {
  readonly states: number;
  readonly violation?: string;
  readonly reported: ReadonlySet<Executed>;
}

/** Visits each reachable state once. */
function explore(limits: WorldLimits): Exploration {
  const simulator = new Simulator(limits);
  const seen = new Set<string>();
  const reported = new Set<Executed>();
  const open = [keyOf({world: createWorld(limits), faults: 0})];
  while (open.length > 0) {
    for (const node of childrenOf(simulator, open.pop()!)) {
      const violation = findViolation(node.world);
      if (violation !== undefined)
        return {states: seen.size, violation, reported};
      const key = keyOf(node);
      if (seen.has(key)) continue;
      seen.add(key);
      if (seen.size > MAX_STATES) throw new Error('too many states');
      for (const request of node.world.requests) {
        if (request.reportedRan !== undefined)
          reported.add(request.reportedRan);
      }
      open.push(key);
    }
  }
  return {states: seen.size, reported};
}

function childrenOf(simulator: Simulator, text: string): Node[] {
  const parent = JSON.parse(text) as Node;
  const children: Node[] = [];
  for (const action of simulator.actions(parent.world)) {
    // Each entry has one request.
    const elsewhere = `at ${1 - parent.world.requests.length}`;
    if (action.name.endsWith(elsewhere)) continue;
    const after = parent.faults + (ORDINARY.test(action.name) ? 0 : 1);
    if (after > MAX_FAULTS) continue;
    const {world} = JSON.parse(text) as Node;
    action.run(world);
    children.push({world, faults: after});
  }
  return children;
}

/** Identifies a state. Worlds that differ in the order of `inFlight` only are equal. */
function keyOf({world, faults}: Node): string {
  const encoded = world.inFlight.map((item) => JSON.stringify(item)).sort();
  const sorted = encoded.map((item) => JSON.parse(item) as unknown);
  return JSON.stringify({world: {...world, inFlight: sorted}, faults});
}

it('no interleaving violates a guarantee', () => {
  const limits = {agents: 1, requests: 2, bodies: ['a'], restarts: 1};
  const found = explore(limits);
  expect(found.violation).toBeUndefined();
  expect([...found.reported].sort()).toEqual(
    [Executed.NO, Executed.UNKNOWN, Executed.YES].sort(),
  );
  expect(found.states).toBeGreaterThan(1_000);
});
