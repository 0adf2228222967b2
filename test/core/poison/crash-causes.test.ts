/** Requests that are found to have crashed engines. */
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
  /** Earlier crashes by request. */
  suspects: Readonly<Record<string, readonly string[]>>;
  /** The requests that caused the crash. */
  causes: readonly string[];
}> = [
  {name: 'the first crash', suspects: {a: [], b: []}, causes: []},
  {
    name: 'the second crash of a single request',
    suspects: {a: ['c']},
    causes: ['a'],
  },
  {
    name: 'crashes that only one request each was running in',
    suspects: {a: ['c'], b: [], d: ['other']},
    causes: ['a', 'd'],
  },
  {
    name: 'a crash that two requests were running in',
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
        const {causes, crashes} = simulate(new SeededRandom(seed));
        expect(causes).toEqual(['r0']);
        expect(crashes).toBe(2);
      }),
      {numRuns: 2_000, seed: SEED},
    );
  });
});

/**
 * Request r0 crashes each engine in which it runs; there are two more engines
 * than requests. Returns the causes found and the number of crashes until then.
 */
function simulate(random: SeededRandom): {causes: string[]; crashes: number} {
  const count = 1 + random.below(8);
  const engines = Array.from({length: count + 2}, (): Suspect[] => []);
  const ids = Array.from({length: count}, (_, i) => `r${i}`);
  engines[0] = ids.map((id) => ({id, crashes: []}));
  for (let crashes = 1; crashes < 5; crashes++) {
    const crashed = engines.findIndex((e) => e.some(({id}) => id === 'r0'));
    const batch = engines[crashed]!;
    const causes = findCrashCauses(batch);
    if (causes.length > 0) return {causes, crashes};
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
