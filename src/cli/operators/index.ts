/** Reads the status of processes. */
export * from './read-status.js';
export * from './types.js';
