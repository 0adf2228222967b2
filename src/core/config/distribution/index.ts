/** How an accepted configuration reaches every process. */
export * from './config-holder.js';
export * from './consts.js';
export * from './elect-watchers.js';
export * from './types.js';
