/** A short soak run, and all seeds that it has ever failed on. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {describe, expect, it} from 'vitest';

import type {Regression} from '../../tools/soak/regressions.js';
import {REGRESSIONS} from '../../tools/soak/regressions.js';
import {runSoak} from '../../tools/soak/run.js';

const SIZE = {entries: 3, targets: 1};
const SHORT_RUN_MS = 14_000;

/** Time to start the processes, and for faults that last beyond the plan. */
const OVERHEAD_MS = 60_000;

const CASES: readonly Regression[] = [
  {seed: 7, durationMs: SHORT_RUN_MS, cause: 'none: a short run'},
  {
    seed: 44,
    durationMs: SHORT_RUN_MS,
    cause: 'none: a short run with signals at starts',
    hasStartFaults: true,
  },
  {
    seed: 45,
    durationMs: SHORT_RUN_MS,
    cause: 'none: a short run with crowds and early responses',
    hasWireFaults: true,
  },
  ...REGRESSIONS,
];

describe('the soak', () => {
  it.each(CASES)(
    'violates no guarantee with seed $seed ($cause)',
    async ({seed, durationMs, ...options}) => {
      const {hasStartFaults = false, hasWireFaults = false} = options;
      const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
      const result = await runSoak({
        seed,
        durationMs,
        size: SIZE,
        hasStartFaults,
        hasWireFaults,
        folder,
      });
      expect(result.violations, `kept in ${folder}`).toEqual([]);
      expect(result.served).toBeGreaterThan(0);
      // The folder is kept only after a failure, to analyse it.
      rmSync(folder, {recursive: true});
    },
    SHORT_RUN_MS + OVERHEAD_MS,
  );
});
