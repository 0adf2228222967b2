/** Settings of one process: loaded, merged and checked. */
export * from './consts.js';
export * from './load-daemon-settings.js';
export * from './types.js';
