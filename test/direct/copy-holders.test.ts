/** Where a stream's copy is kept while a data centre is mostly lost. */
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import {TargetSet} from '../../src/core/targets/index.js';
import type {DirectContext, DirectWork} from '../../src/direct/context.js';
import {StreamPlacer} from '../../src/direct/streams/stream-placer.js';

const SERVICE = 's';
const ENGINES = 8;
const SEEDS = 40;

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

const WORK = {
  req: {attemptId: 'try-1', promptParts: []},
  service: {
    name: SERVICE,
    engine: {canCopy: true, kvCapacityTokens: 55_000},
  },
  admitted: {route: {isResumable: true}},
} as unknown as DirectWork;

/** Three data centres, of which some engines of `c` don't respond. */
function createSite(options: {lost: number; seed: number}) {
  const clock = new ManualClock();
  const targets = new TargetSet({clock, onRemoved: () => undefined});
  const records = ['a', 'b', 'c'].flatMap((dataCentre) =>
    Array.from({length: ENGINES}, (_, i) => ({
      id: `${dataCentre}-${i}`,
      service: SERVICE,
      dataCentre,
      address: `10.0.0.1:${i}`,
      isDraining: false,
      slots: 8,
    })),
  );
  targets.replaceAll(
    records.map((value) => ({name: value.id, value})),
    IN_TOUCH,
  );
  const all = targets.ofService(SERVICE);
  for (const target of all) {
    target.recordSeen();
    const isIdle = target.record.dataCentre === 'c';
    if (!isIdle) target.begin({tokens: 1});
  }
  for (let i = 0; i < options.lost; i++)
    all.find(({id}) => id === `c-${i}`)!.pause();
  const ctx = {
    clock,
    random: new SeededRandom(options.seed),
    targets,
  } as unknown as DirectContext;
  const placer = new StreamPlacer({ctx, work: WORK, heldBack: new Set()});
  return {placer, runner: all.find(({id}) => id === 'a-0')!};
}

describe('the copy of a stream that runs in data centre a', () => {
  it.each([
    {lost: 0, expected: 'c'},
    {lost: 7, expected: 'b'},
  ])('is kept in $expected if $lost of c are lost', ({lost, expected}) => {
    for (let seed = 0; seed < SEEDS; seed++) {
      const {placer, runner} = createSite({lost, seed});
      const holder = placer.chooseCopyHolder(runner);
      expect(holder?.record.dataCentre).toBe(expected);
    }
  });
});
