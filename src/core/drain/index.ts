/** Planned stops: when a process that leaves may end. */
export * from './consts.js';
export * from './drain-controller.js';
export * from './may-exit.js';
export * from './types.js';
