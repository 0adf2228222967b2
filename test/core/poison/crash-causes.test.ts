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
  causes: readonly string[];
}> = [
  {name: 'first crash', suspects: {a: [], b: []}, causes: []},
  {
    name: 'second crash of a single request',
    suspects: {a: ['c']},
    causes: ['a'],
  },
  {
    name: 'second crash together with unrelated requests',
    suspects: {a: ['c'], b: [], d: ['other']},
    causes: ['a', 'd'],
  },
  {
    name: 'two requests of the same crash',
    suspects: {a: ['c'], b: ['c']},
    causes: [],
  },
  {
    name: 'a crash that is listed twice',
    suspects: {a: ['c', 'c'], b: []},
    causes: ['a'],
  },
];

describe('findCrashCauses', () => {
  it.each(CASES)('returns the causes after $name', ({suspects, causes}) => {
    const list = Object.entries(suspects).map(([id, crashes]) => ({
      id,
      crashes,
    }));
    expect(findCrashCauses(list)).toEqual(causes);
  });

  it(`finds the only cause of two crashes (seed ${SEED})`, () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const {causes: named, crashes} = simulate(new SeededRandom(seed));
        expect(named).toEqual(['r0']);
        expect(crashes).toBe(2);
      }),
      {numRuns: 2_000, seed: SEED},
    );
  });
});

/** Request r0 crashes each engine; there are two more engines than requests. */
function simulate(random: SeededRandom): {causes: string[]; crashes: number} {
  const count = 1 + random.below(8);
  const engines = Array.from({length: count + 2}, (): Suspect[] => []);
  const ids = Array.from({length: count}, (_, i) => `r${i}`);
  engines[0] = ids.map((id) => ({id, crashes: []}));
  for (let crashes = 1; crashes < 5; crashes++) {
    const crashed = engines.findIndex((e) => e.some(({id}) => id === 'r0'));
    const batch = engines[crashed]!;
    const named = findCrashCauses(batch);
    if (named.length > 0) return {causes: named, crashes};
    engines[crashed] = [];
    for (const {id, crashes: before} of batch) {
      const suspect = {id, crashes: [...before, `c${crashes}`]};
      const candidates = engines.filter(
        (others, i) =>
          i !== crashed && sharesNoCrash({crashes: suspect.crashes, others}),
      );
      candidates[random.below(candidates.length)]!.push(suspect);
    }
  }
  return {causes: [], crashes: 0};
}
