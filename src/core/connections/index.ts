/** Bounds of the connections that a process accepts. */
export {ConnectionTable} from './connection-table.js';
export {NEW_CONNECTION_MS} from './consts.js';
export {deriveLimits} from './derive-limits.js';
export type {BoundedConnection, ConnectionLimits} from './types.js';
export {CloseReason, ConnectionUse} from './types.js';
