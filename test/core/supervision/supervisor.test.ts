/** What an exception ends: its task, never the process. */
import {errAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {LogFields, Logger} from '../../../src/core/logs/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import {Metrics} from '../../../src/core/metrics/index.js';
import {Supervisor, TaskName} from '../../../src/core/supervision/index.js';

const FAILURE = new Error('unforeseen');

const WORK = [
  {how: 'throws', work: () => throwFailure(), failures: 1},
  {how: 'rejects', work: () => Promise.reject(FAILURE), failures: 1},
  {
    how: 'rejects without an error',
    // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors
    work: () => Promise.reject(undefined),
    failures: 1,
  },
  {how: 'returns', work: () => 1, failures: 0},
  {how: 'resolves', work: () => Promise.resolve(1), failures: 0},
  {how: 'resolves to an error', work: () => errAsync('known'), failures: 0},
];

describe('a supervisor', () => {
  let clock: ManualClock;
  let metrics: Metrics;
  let lines: LogFields[];
  let supervisor: Supervisor;

  beforeEach(() => {
    clock = new ManualClock();
    metrics = new Metrics();
    lines = [];
    const error = (_: string, fields?: LogFields) => lines.push(fields ?? {});
    const logger: Logger = {...SILENT_LOGGER, error};
    supervisor = new Supervisor({clock, metrics, logger});
  });

  it.each(WORK)('runs work that $how', async ({work, failures}) => {
    let reported = 0;
    const task = {name: TaskName.LOSSES, onFailure: () => reported++};
    supervisor.run(task, work);
    supervisor.guard(task, work)();
    await turns();
    expect(reported).toBe(2 * failures);
    expect(lines).toHaveLength(2 * failures);
    const rendered = await metrics.render();
    expect(rendered.includes('task_failures_total{label="losses"} 2')).toBe(
      failures > 0,
    );
  });

  // Guards against failures that end the process as they are reported (FAULT).
  it.each([
    {what: 'a cause without text', cause: Object.create(null) as unknown},
    {what: 'a stack that is no text', cause: withStack(1)},
    {what: 'nothing', cause: undefined},
    {what: 'a logger that throws', cause: 1, log: throwFailure},
    {what: 'a handler that rejects', cause: 1, answer: rejectLater},
    {what: 'a handler that throws', cause: 1, answer: throwFailure},
  ])('calls the handler despite $what', async ({cause, log, answer}) => {
    let reported = 0;
    const escaped: unknown[] = [];
    const keep = (reason: unknown) => escaped.push(reason);
    process.on('unhandledRejection', keep);
    if (log !== undefined) {
      const logger: Logger = {...SILENT_LOGGER, error: log};
      supervisor = new Supervisor({clock, metrics, logger});
    }
    const onFailure = () => {
      reported++;
      return answer?.();
    };
    const task = {name: TaskName.CALL, onFailure};
    supervisor.run(task, () => throwCause(cause));
    // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors
    supervisor.run(task, () => Promise.reject(cause));
    await new Promise((resolve) => setTimeout(resolve, 10));
    process.off('unhandledRejection', keep);
    expect({reported, escaped}).toEqual({reported: 2, escaped: []});
  });

  it('names the task, the request and the place', () => {
    const task = {name: TaskName.CALL, requestId: 'a-1'};
    supervisor.run(task, throwFailure);
    expect(lines[0]).toMatchObject({task: 'call', id: 'a-1'});
    expect(lines[0]!.detail).toContain('throwFailure');
  });

  it('records a handler of failures that fails', () => {
    supervisor.run(
      {name: TaskName.CALL, onFailure: throwFailure},
      throwFailure,
    );
    expect(lines).toHaveLength(2);
  });

  it('starts a failed loop again, at growing intervals', async () => {
    const startsMs: number[] = [];
    const loop = () => {
      startsMs.push(clock.now());
      return startsMs.length < 4 ? Promise.reject(FAILURE) : Promise.resolve();
    };
    supervisor.keepRunning({name: TaskName.STORE_FOLLOWER}, loop);
    for (let ms = 0; ms < 1_000; ms += 10) {
      await turns();
      clock.advance(10);
    }
    expect(startsMs).toEqual([0, 50, 150, 350]);
    expect(lines).toHaveLength(3);
  });
});

function throwCause(cause: unknown): never {
  throw cause;
}

function withStack(stack: unknown): Error {
  return Object.assign(new Error('odd'), {stack});
}

const rejectLater = () => Promise.reject(new Error('later'));

function throwFailure(): never {
  throw new Error('unforeseen');
}

async function turns(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await Promise.resolve();
}
