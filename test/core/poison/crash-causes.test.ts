import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {SeededRandom} from '../../../src/core/clock/index.js';
import type {Suspect} from '../../../src/core/poison/index.js';
import {
  findCrashCauses,
  sharesNoCrash,
} from '../../../src/core/poison/index.js';

const SEED = 20261204;

const CASES: ReadonlyArray<{
  name: string;
  suspects: Readonly<Record<string, readonly string[]>>;
  culprits: readonly string[];
}> = [
  {name: 'first crash', suspects: {a: [], b: []}, culprits: []},
  {name: 'second crash alone', suspects: {a: ['c']}, culprits: ['a']},
  {
    name: 'second crash beside innocents',
    suspects: {a: ['c'], b: [], d: ['other']},
    culprits: ['a', 'd'],
  },
  {
    name: 'two of the same crash',
    suspects: {a: ['c'], b: ['c']},
    culprits: [],
  },
  {
    name: 'a crash noted twice',
    suspects: {a: ['c', 'c'], b: []},
    culprits: ['a'],
  },
];

describe('findCulprits', () => {
  it.each(CASES)('names after $name', ({suspects, culprits}) => {
    const list = Object.entries(suspects).map(([id, crashes]) => ({
      id,
      crashes,
    }));
    expect(findCrashCauses(list)).toEqual(culprits);
  });

  it(`names the one culprit in two crashes (seed ${SEED})`, () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const {named, crashes} = simulate(new SeededRandom(seed));
        expect(named).toEqual(['r0']);
        expect(crashes).toBe(2);
      }),
      {numRuns: 2_000, seed: SEED},
    );
  });
});

/** Request r0 crashes each engine; as many engines as requests are left. */
function simulate(random: SeededRandom): {named: string[]; crashes: number} {
  const count = 1 + random.below(8);
  const engines = Array.from({length: count + 2}, (): Suspect[] => []);
  const ids = Array.from({length: count}, (_, i) => `r${i}`);
  engines[0] = ids.map((id) => ({id, crashes: []}));
  for (let crashes = 1; crashes < 5; crashes++) {
    const crashed = engines.findIndex((e) => e.some(({id}) => id === 'r0'));
    const batch = engines[crashed]!;
    const named = findCrashCauses(batch);
    if (named.length > 0) return {named, crashes};
    engines[crashed] = [];
    for (const {id, crashes: before} of batch) {
      const suspect = {id, crashes: [...before, `c${crashes}`]};
      const apart = engines.filter(
        (beside, i) =>
          i !== crashed &&
          sharesNoCrash({crashes: suspect.crashes, others: beside}),
      );
      apart[random.below(apart.length)]!.push(suspect);
    }
  }
  return {named: [], crashes: 0};
}
