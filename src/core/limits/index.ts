/** Keeps what entries send to a target within the limit that it names. */
export {LIMIT_WINDOW_MS} from './consts.js';
export {RecentCount} from './recent-count.js';
