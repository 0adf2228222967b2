/** Bounds what an unforeseen exception ends. */
export {Supervisor} from './supervisor.js';
export type {Task} from './types.js';
export {TaskName} from './types.js';
