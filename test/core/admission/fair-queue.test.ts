import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {FairItem} from '../../../src/core/admission/index.js';
import {FairQueue} from '../../../src/core/admission/index.js';

const SEED = 20261204;
const RUNS = 500;
const WEIGHTS = {a: 1, b: 2, c: 5} as const;
type FlowName = keyof typeof WEIGHTS;

interface Item extends FairItem {
  readonly id: number;
}

enum StepKind {
  PUSH,
  SHIFT,
  REMOVE,
}

/** Reference model: one list; each item's start time is set on arrival. */
class ReferenceQueue {
  private items: Array<{item: Item; start: number}> = [];
  private readonly finish = new Map<string, number>();
  private now = 0;

  push(item: Item): void {
    const last = this.items.findLast((q) => q.item.flow === item.flow);
    const start =
      last === undefined
        ? Math.max(this.now, this.finish.get(item.flow) ?? 0)
        : last.start + last.item.cost / last.item.weight;
    this.items.push({item, start});
  }

  shift(): Item | undefined {
    const starts = this.items.map((q) => q.start);
    const index = starts.indexOf(Math.min(...starts));
    if (index < 0) return undefined;
    const [{item, start}] = this.items.splice(index, 1) as [
      {item: Item; start: number},
    ];
    this.finish.set(item.flow, start + item.cost / item.weight);
    this.now = Math.max(this.now, start);
    return item;
  }
}

const flowArb = fc.constantFrom<FlowName>('a', 'b', 'c');
const stepArb = fc.record({
  kind: fc.constantFrom(StepKind.PUSH, StepKind.PUSH, StepKind.SHIFT),
  flow: flowArb,
  cost: fc.integer({min: 1, max: 100}),
});

describe('FairQueue', () => {
  it('serves in the order of the reference model', () => {
    fc.assert(
      fc.property(fc.array(stepArb, {maxLength: 200}), (steps) => {
        const queue = new FairQueue<Item>();
        const reference = new ReferenceQueue();
        steps.forEach(({kind, flow, cost}, id) => {
          if (kind === StepKind.PUSH) {
            const item = {id, flow, cost, weight: WEIGHTS[flow]};
            queue.push(item);
            reference.push(item);
          } else {
            expect(queue.shift()?.id).toBe(reference.shift()?.id);
          }
        });
        const order = queue.ordered().map(({id}) => id);
        expect(order.map(() => queue.shift()?.id)).toEqual(order);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('serves backlogged flows by weight, to within one item each', () => {
    const costs = fc.array(fc.integer({min: 1, max: 100}), {
      minLength: 60,
      maxLength: 60,
    });
    fc.assert(
      fc.property(costs, costs, fc.nat({max: 40}), (ofA, ofC, served) => {
        const queue = new FairQueue<Item>();
        ofA.forEach((cost, id) => queue.push({id, flow: 'a', cost, weight: 1}));
        ofC.forEach((cost, id) => queue.push({id, flow: 'c', cost, weight: 5}));
        const servedCost = {a: 0, c: 0};
        for (let i = 0; i < served; i++) {
          const {flow, cost, weight} = queue.shift()!;
          servedCost[flow as 'a' | 'c'] += cost / weight;
        }
        expect(Math.abs(servedCost.a - servedCost.c)).toBeLessThanOrEqual(
          100 / 1 + 100 / 5,
        );
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('keeps all other items and the count when items are removed', () => {
    fc.assert(
      fc.property(
        fc.array(flowArb, {maxLength: 60}),
        fc.array(fc.nat({max: 59}), {maxLength: 20}),
        (flows, removed) => {
          const queue = new FairQueue<Item>();
          const items = flows.map((flow, id): Item => {
            return {id, flow, cost: 1 + id, weight: WEIGHTS[flow]};
          });
          items.forEach((item) => queue.push(item));
          const remaining = new Set(items);
          for (const index of removed) {
            const item = items[index];
            if (item === undefined) continue;
            expect(queue.remove(item)).toBe(remaining.delete(item));
          }
          expect(queue.size).toBe(remaining.size);
          for (let n = remaining.size; n > 0; n--)
            remaining.delete(queue.shift()!);
          expect(remaining.size).toBe(0);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('gives a flow no credit for idle time', () => {
    const queue = new FairQueue<Item>();
    const item = (flow: string, id: number): Item => {
      return {id, flow, cost: 10, weight: 1};
    };
    for (let id = 0; id < 50; id++) {
      queue.push(item('a', id));
      queue.shift();
    }
    queue.push(item('a', 50));
    for (let id = 0; id < 5; id++) queue.push(item('b', id));
    const order = [queue.shift(), queue.shift(), queue.shift()];
    expect(order.filter((next) => next?.flow === 'a')).toHaveLength(1);
  });
});
