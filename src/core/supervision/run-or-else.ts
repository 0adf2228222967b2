import type {Supervisor} from './supervisor.js';
import type {Task} from './types.js';

/**
 * Resolves to the result of `work`, or to that of `orElse` if it fails. The
 * failure is logged and counted, so that the returned promise never rejects.
 *
 * @example
 * const task = {name: TaskName.REQUEST};
 * await runOrElse({supervisor, task, work: () => call(), orElse: refuse});
 */
export function runOrElse<T>(options: {
  supervisor: Supervisor;
  task: Omit<Task, 'onFailure'>;
  work: () => PromiseLike<T>;
  orElse: () => T;
}): Promise<T> {
  const {supervisor, task, work, orElse} = options;
  return new Promise((resolve) => {
    const onFailure = () => resolve(orElse());
    supervisor.run({...task, onFailure}, async () => resolve(await work()));
  });
}
