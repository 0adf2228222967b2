/** Urgency of generations at the engines that they share. */
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
  {name: "the account's before the route's", route: 2, account: 4, expected: 4},
  {name: "an account's most urgent", route: 2, account: 0, expected: 0},
  {
    name: 'one more for a run under way',
    route: 2,
    isResumed: true,
    expected: 1,
  },
  {name: 'no class before the first', route: 0, isResumed: true, expected: 0},
  {name: 'no class behind the last', route: 12, expected: 9},
];

describe('urgencyClass', () => {
  it.each(CASES)('takes $name', ({route, account, isResumed, expected}) => {
    const facts = {
      route: {priority: route},
      account: account === undefined ? undefined : {priority: account},
      isResumed: isResumed ?? false,
    };
    expect(enginePriority(facts)).toBe(expected);
  });

  it('lets a full engine give up what its caller has not begun to read', () => {
    // An engine takes the place of the newest of the least urgent.
    const begun = enginePriority({route: {priority: 1}, isResumed: false});
    const goneOn = enginePriority({route: {priority: 1}, isResumed: true});
    const runs = [
      {id: 'old', atMs: 1, urgency: begun},
      {id: 'fresh', atMs: 2, urgency: begun},
      {id: 'moved here', atMs: 3, urgency: goneOn},
    ];
    const [loser] = runs.sort(
      (a, b) => b.urgency - a.urgency || b.atMs - a.atMs,
    );
    expect(loser?.id).toBe('fresh');
  });
});
