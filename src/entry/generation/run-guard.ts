/** Ends a generation, and no other, after an unforeseen exception. */
import {LogState} from '../../core/generation/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Guard} from '../links/guard-handler.js';
import type {OutputBuffer} from './output-buffer.js';
import {entryFailed} from './run-refusals.js';
import type {GenerationDeps, GenerationTask} from './run-types.js';

/**
 * Creates the guard of the callbacks of one generation.
 *
 * @example
 * const steps = [() => this.cancelAttempts(), () => this.finish()];
 * const guard = createRunGuard({task, deps, output, steps});
 */
export function createRunGuard(options: {
  task: Pick<GenerationTask, 'requestId'>;
  deps: Pick<GenerationDeps, 'supervisor'>;
  output: OutputBuffer;
  /** Run one by one after a failure, each of which may fail too. */
  steps: ReadonlyArray<() => void>;
}): Guard {
  const {output, steps} = options;
  const {supervisor} = options.deps;
  const {requestId} = options.task;
  const task = {name: TaskName.GENERATION, requestId};
  const onFailure = (): void => {
    if (output.log.state === LogState.RUNNING) output.fail(entryFailed());
    for (const step of steps) supervisor.run(task, step);
  };
  return (work) => supervisor.run({...task, onFailure}, work);
}
