/** Distributes the accepted configuration to all processes. */
export * from './config-holder.js';
export * from './consts.js';
export * from './elect-watchers.js';
export * from './types.js';
