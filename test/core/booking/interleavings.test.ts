/**
 * Every interleaving of two entries, one agent that may restart, and one key:
 * claims, lost and delayed writes and calls, voids, executions, replies.
 */
import {expect, it} from 'vitest';

import {Executed} from '../../../src/core/errors/index.js';
import {findViolation} from './lib/check-world.js';
import {Simulator} from './lib/simulator.js';
import type {World, WorldLimits} from './lib/world.js';
import {createWorld} from './lib/world.js';

/** Faults and delays in one interleaving, of any kind and in any order. */
const MAX_FAULTS = 2;
const MAX_STATES = 400_000;

/** What happens where nothing fails and nobody is late. */
const ORDINARY =
  /^(start|write$|call$|ask$|reply$|look up|executes$|record|late (write|call))/;

interface Node {
  readonly world: World;
  readonly faults: number;
}

interface Found {
  readonly states: number;
  readonly violation?: string;
  readonly told: ReadonlySet<Executed>;
}

/** Visits each state that can be reached once. */
function explore(limits: WorldLimits): Found {
  const simulator = new Simulator(limits);
  const seen = new Set<string>();
  const told = new Set<Executed>();
  const open = [keyOf({world: createWorld(limits), faults: 0})];
  while (open.length > 0) {
    for (const node of childrenOf(simulator, open.pop()!)) {
      const violation = findViolation(node.world);
      if (violation !== undefined) return {states: seen.size, violation, told};
      const key = keyOf(node);
      if (seen.has(key)) continue;
      seen.add(key);
      if (seen.size > MAX_STATES) throw new Error('too many states');
      for (const request of node.world.requests) {
        if (request.told !== undefined) told.add(request.told);
      }
      open.push(key);
    }
  }
  return {states: seen.size, told};
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

/** What is under way has no order, so worlds that differ in it are one. */
function keyOf({world, faults}: Node): string {
  const flights = world.flights.map((flight) => JSON.stringify(flight)).sort();
  const sorted = flights.map((flight) => JSON.parse(flight) as unknown);
  return JSON.stringify({world: {...world, flights: sorted}, faults});
}

it('no interleaving breaks a promise', () => {
  const limits = {agents: 1, requests: 2, bodies: ['a'], restarts: 1};
  const found = explore(limits);
  expect(found.violation).toBeUndefined();
  expect([...found.told].sort()).toEqual(
    [Executed.NO, Executed.UNKNOWN, Executed.YES].sort(),
  );
  expect(found.states).toBeGreaterThan(1_000);
});
