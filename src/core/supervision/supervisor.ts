import {inspect} from 'node:util';

import type {Clock} from '../clock/index.js';
import {sleep} from '../clock/index.js';
import type {Logger} from '../logs/index.js';
import type {Metrics} from '../metrics/index.js';
import {CounterName} from '../metrics/index.js';
import {
  CALM_MS,
  MAX_RESTART_DELAY_MS,
  MAX_STACK_CHARS,
  MIN_RESTART_DELAY_MS,
} from './consts.js';
import type {Task} from './types.js';

/**
 * Runs work that nobody waits for. An exception or a rejection ends that work
 * alone: it is logged, counted and reported to the task's `onFailure`. Without a
 * supervisor it would end the process, with the requests of all other callers.
 *
 * @example
 * const supervisor = new Supervisor({clock, metrics, logger});
 * supervisor.run({name: TaskName.LOSSES}, () => this.sync());
 */
export class Supervisor {
  constructor(
    private readonly options: {
      clock: Clock;
      metrics: Metrics;
      logger: Logger;
    },
  ) {}

  /**
   * Runs work once, whether it returns or resolves.
   *
   * @example
   * supervisor.run({name: TaskName.CALL, onFailure}, () => this.retry());
   */
  run(task: Task, work: () => unknown): void {
    try {
      const result = work();
      if (!isThenable(result)) return;
      result.then(undefined, (cause: unknown) => this.fail(task, cause));
    } catch (cause) {
      this.fail(task, cause);
    }
  }

  /**
   * Wraps a callback of a timer, an emitter or an edge.
   *
   * @example
   * const run = supervisor.guard({name: TaskName.LIMIT}, () => this.renew());
   * clock.repeat({periodMs: 1_000, run});
   */
  guard<Args extends unknown[]>(
    task: Task,
    callback: (...args: Args) => unknown,
  ): (...args: Args) => void {
    return (...args) => this.run(task, () => callback(...args));
  }

  /**
   * Runs a loop until it returns. After a failure it starts again, with a delay
   * that doubles while failures follow each other.
   *
   * @example
   * supervisor.keepRunning({name: TaskName.STORE_FOLLOWER}, () => this.loop());
   */
  keepRunning(task: Task, loop: () => Promise<void>): void {
    this.run(task, () => this.repeatUntilDone(task, loop));
  }

  private async repeatUntilDone(
    task: Task,
    loop: () => Promise<void>,
  ): Promise<void> {
    const {clock} = this.options;
    let delayMs = MIN_RESTART_DELAY_MS;
    for (;;) {
      const startedMs = clock.now();
      try {
        await loop();
        return;
      } catch (cause) {
        this.fail(task, cause);
      }
      if (clock.now() - startedMs >= CALM_MS) delayMs = MIN_RESTART_DELAY_MS;
      await sleep(clock, delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RESTART_DELAY_MS);
    }
  }

  private fail(task: Task, cause: unknown): void {
    this.record(task, cause);
    // Its own failures are recorded, and have no further handler.
    const {name, requestId} = task;
    if (task.onFailure !== undefined)
      this.run({name, requestId}, task.onFailure);
  }

  /** A log or a counter that fails too must not keep `onFailure` from its call. */
  private record({name, requestId}: Task, cause: unknown): void {
    const {metrics, logger} = this.options;
    try {
      metrics.count(CounterName.TASK_FAILURES, {label: name});
      logger.error('task failed', {
        task: name,
        id: requestId,
        detail: describe(cause),
      });
    } catch {
      // Nothing is left that could tell of it.
    }
  }
}

function isThenable(value: unknown): value is PromiseLike<unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    typeof (value as Partial<PromiseLike<unknown>>).then === 'function'
  );
}

/** Describes anything that can be thrown, such as an object without text. */
function describe(cause: unknown): string {
  const stack: unknown = cause instanceof Error ? cause.stack : undefined;
  const text = typeof stack === 'string' ? stack : inspect(cause);
  return text.slice(0, MAX_STACK_CHARS);
}
