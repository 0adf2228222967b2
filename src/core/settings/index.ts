/** Loads, merges and checks the settings of one process. */
export * from './consts.js';
export * from './load-daemon-settings.js';
export * from './types.js';
