/** Bounds what an unforeseen exception ends. */
export {runOrElse} from './run-or-else.js';
export {Supervisor} from './supervisor.js';
export type {Task} from './types.js';
export {TaskName} from './types.js';
