/** Figures of processes that the soak reads. */
import {describe, expect, it} from 'vitest';

import {SystemClock} from '../../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import {Metrics} from '../../../src/core/metrics/index.js';
import {Supervisor, TaskName} from '../../../src/core/supervision/index.js';
import {
  parseTaskFailures,
  readPeakMemory,
  readProcessorWait,
} from '../../../tools/soak/process-figures.js';

describe('parseTaskFailures', () => {
  it('counts what a supervisor counted', async () => {
    const metrics = new Metrics();
    const supervisor = new Supervisor({
      clock: new SystemClock(),
      metrics,
      logger: SILENT_LOGGER,
    });
    expect(parseTaskFailures(await metrics.render())).toBe(0);
    for (const name of [TaskName.CALL, TaskName.CALL, TaskName.LOSSES]) {
      supervisor.run({name}, () => {
        throw new Error('oops');
      });
    }
    expect(parseTaskFailures(await metrics.render())).toBe(3);
  });
});

describe('readPeakMemory', () => {
  it('includes memory that is no longer in use', () => {
    const before = readPeakMemory(process.pid);
    const bytes = 100_000_000;
    Buffer.alloc(bytes, 1);
    expect(before).toBeGreaterThan(0);
    expect(readPeakMemory(process.pid)).toBeGreaterThan(before);
  });

  it('is 0 for a process that is gone', () => {
    expect(readPeakMemory(2 ** 30)).toBe(0);
  });
});

describe('readProcessorWait', () => {
  it('is shorter than the life of a process, and 0 once it is gone', () => {
    const waitMs = readProcessorWait(process.pid);
    expect(waitMs).toBeGreaterThan(0);
    expect(waitMs).toBeLessThan(performance.now());
    expect(readProcessorWait(2 ** 30)).toBe(0);
  });
});
