/** Graceful shutdown: draining a process until it may exit. */
export * from './consts.js';
export * from './drain-controller.js';
export * from './may-exit.js';
export * from './types.js';
