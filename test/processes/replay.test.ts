/** Entries as the deploy file starts them, under disturbances from a seed. */
import {fileURLToPath} from 'node:url';

import {describe, expect, it} from 'vitest';

import {ROOT} from '../../tools/lab/paths.js';
import {createPlan} from '../../tools/replay/plan.js';
import {runReplay} from '../../tools/replay/run.js';
import {EndCause} from '../../tools/replay/types.js';

const DURATION_MS = 20_000;

/** Fewer callers than in the runs by hand, for a short run beside others. */
const RETURNING_CALLERS = 60;

/** Planned stops of all entries, one after another, may follow the run. */
const TIMEOUT_MS = 120_000;

const SEEDS = [7, 101];

describe('a replay', () => {
  it('draws the same disturbances from the same seed', () => {
    const options = {seed: 7, durationMs: DURATION_MS};
    expect(createPlan(options)).toEqual(createPlan(options));
    const other = createPlan({...options, seed: 8});
    expect(createPlan(options)).not.toEqual(other);
  });

  // Guards against entries that end by themselves or do not start (FAULT).
  it.each(SEEDS)(
    'finds no end of an entry by itself: seed %i',
    {timeout: TIMEOUT_MS},
    async (seed) => {
      const result = await runReplay({
        ...{seed, durationMs: DURATION_MS, root: fileURLToPath(ROOT)},
        ...{isCapped: false, returningCallers: RETURNING_CALLERS},
      });
      const {ends, findings, failedStarts, overMemory} = result;
      const found = JSON.stringify(findings);
      expect(ends[EndCause.BY_ITSELF], found).toBe(0);
      expect(failedStarts).toBe(0);
      expect(overMemory).toBe(0);
      expect(ends[EndCause.KILLED]).toBeGreaterThan(0);
    },
  );
});
