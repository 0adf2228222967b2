/** What processes tell their operators. */
export * from './read-status.js';
export * from './types.js';
