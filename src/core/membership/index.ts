/** Who takes part, who is suspected, and whom an entry watches. */
export * from './consts.js';
export * from './silence-timeout.js';
export * from './rendezvous.js';
export * from './select-subset.js';
export * from './types.js';
