/** Counters and histograms of a process. */
export {Metrics} from './metrics.js';
export {CounterName, LatencyName} from './types.js';
