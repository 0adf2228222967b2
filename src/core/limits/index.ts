/** Keeps what entries send to a target within the limit that it names. */
export {LIMIT_WINDOW_MS} from './consts.js';
export {LimitPool} from './limit-pool.js';
export {LimitPools} from './limit-pools.js';
export {RecentCount} from './recent-count.js';
export {createSharers} from './sharers.js';
export type {
  HeardLimit,
  PermitAnswer,
  PermitPeers,
  PermitQuery,
} from './types.js';
export {PermitNeed} from './types.js';
