/** Tests the priority of generations at an engine. */
import {describe, expect, it} from 'vitest';

import {enginePriority} from '../../../src/core/placing/index.js';

interface Case {
  readonly name: string;
  readonly route: number;
  readonly account?: number;
  readonly isResumed?: boolean;
  readonly expected: number;
}

const CASES: readonly Case[] = [
  {name: 'the priority of the route', route: 2, expected: 2},
  {
    name: "the account's priority before the route's",
    route: 2,
    account: 4,
    expected: 4,
  },
  {name: "an account's highest priority", route: 2, account: 0, expected: 0},
  {
    name: 'one priority higher for a resumed generation',
    route: 2,
    isResumed: true,
    expected: 1,
  },
  {
    name: 'no priority above the highest',
    route: 0,
    isResumed: true,
    expected: 0,
  },
  {name: 'no priority below the lowest', route: 12, expected: 9},
];

describe('enginePriority', () => {
  it.each(CASES)('takes $name', ({route, account, isResumed, expected}) => {
    const query = {
      route: {priority: route},
      account: account === undefined ? undefined : {priority: account},
      isResumed: isResumed ?? false,
    };
    expect(enginePriority(query)).toBe(expected);
  });

  it('lets a full engine preempt a new generation before a resumed one', () => {
    // An engine preempts the newest generation of the lowest priority.
    const newPriority = enginePriority({
      route: {priority: 1},
      isResumed: false,
    });
    const resumedPriority = enginePriority({
      route: {priority: 1},
      isResumed: true,
    });
    const generations = [
      {id: 'old', atMs: 1, priority: newPriority},
      {id: 'fresh', atMs: 2, priority: newPriority},
      {id: 'moved here', atMs: 3, priority: resumedPriority},
    ];
    const [preempted] = generations.sort(
      (a, b) => b.priority - a.priority || b.atMs - a.atMs,
    );
    expect(preempted?.id).toBe('fresh');
  });
});
