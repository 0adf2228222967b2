/** Metrics of a process. */
export {Metrics} from './metrics.js';
export {CounterName, LatencyName} from './types.js';
